/** Decides whether a request that a target did not answer is sent to another one. */
import {
	leafRetryShare,
	nonLeafRetryShare,
} from '../decisions/repeats/retry-budget.js';
import type {RefusalReason} from '../links/exchange.js';
import {hasRoom, listCandidates} from './attempt-candidates.js';
import type {Forwarding} from './forwarding.js';

/** Maximum refusals of one request before it is rejected: each costs a hop of its remaining time. */
const maxRefusals = 3;
/** Minimum time left for another attempt, in milliseconds; with less it can't complete in time. */
const minTimeToRetry = 20;

/** Whether a target refused a request because it was full; others may have room. */
export function isRoomRefusal(reason: RefusalReason): boolean {
	return (
		reason === 'noRoom' ||
		reason === 'rateLimited' ||
		reason === 'waitedTooLong'
	);
}

/** Whether a refused request has attempts and time left for another target. */
export function mayBeRefusedAgain(forwarding: Forwarding): boolean {
	return (
		forwarding.refusals < maxRefusals && forwarding.timeLeft() >= minTimeToRetry
	);
}

/**
 * Whether a request that found no room is sent to another target: only if one
 * is known to have room; otherwise the request would be refused by one target
 * after the other. After a refusal because of a rate limit, a target without one
 * is tried in any case: it may have a short queue.
 */
export function mayTryAnother(forwarding: Forwarding): boolean {
	return (
		!forwarding.mayWait ||
		listCandidates(forwarding).some(
			(candidate) =>
				hasRoom(candidate) ||
				(forwarding.wasRateLimited && !candidate.isRateLimited),
		)
	);
}

/** Takes a retry, if the attempts of the route and the shared budget allow one. */
export function tryTakeRetry(
	forwarding: Forwarding,
	reason: string,
	node: string,
): boolean {
	const {context, route, work, arrivals} = forwarding;
	const isAllowed =
		context.policy.mayRetry &&
		arrivals < route.attempts &&
		forwarding.timeLeft() >= minTimeToRetry &&
		takeFromBudget(forwarding);
	if (isAllowed) {
		context.metrics.retried(work.service);
		context.reporter.decision(
			'meshSentAgain',
			forwarding.request.requestId,
			reason,
			{from: node, arrivals, ...forwarding.decidedBy},
		);
	}

	return isAllowed;
}

function takeFromBudget({context, work}: Forwarding): boolean {
	const {budget, graph, directory, clock} = context;
	const mayCall = graph.mayCall(work.route, work.service);
	const share = mayCall ? nonLeafRetryShare : leafRetryShare;
	return budget.take(work.service, clock.now(), directory.size(), share);
}
