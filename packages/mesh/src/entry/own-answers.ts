/**
 * The answers to requests that no target answered. A 503 with Retry-After
 * certifies "not run", so it is returned only while no attempt can have run;
 * otherwise the answer is a 502, which leaves the outcome open.
 */
import type {Suspect} from '@egretspoke/quarantine';
import {retryAfterTime} from '../decisions/repeats/retry-after-time.js';
import type {TableRoute} from '../configuration/route-table.js';
import type {CallerRequest, OwnAnswer} from './caller-request.js';
import type {Forwarding, ForwardingContext} from './forwarding.js';

/** Answers a request without further attempts. */
export function giveUp(forwarding: Forwarding, reason: string): void {
	const {context, request, route, shed, failure, mayHaveRun} = forwarding;
	if (failure) {
		forwarding.finish(failure);
	} else if (mayHaveRun) {
		forwarding.finish({kind: 'own', status: 502, reason});
	} else {
		forwarding.finish(createRefusal(context, {request, route, shed, reason}));
	}
}

/** A request that has not run, and why. */
export type RefusedRequest = {
	request: CallerRequest;
	route: TableRoute;
	/** The share of requests of this kind, from 0 to 1, that is shed. */
	shed: number;
	reason: string;
};

/** Creates the answer to a request that has not run. */
export function createRefusal(
	{clock, random, policy}: ForwardingContext,
	{request, route, shed, reason}: RefusedRequest,
): OwnAnswer {
	// The caller's own timeout may be later than the timeout of the route.
	const timeLeft =
		request.arrivedAt + (request.timeLeft ?? route.timeout) - clock.now();
	const objective = policy.has('returnInObjective')
		? route.objective
		: Number.POSITIVE_INFINITY;
	return {
		kind: 'own',
		status: 503,
		reason,
		retryAfter: retryAfterTime(
			{timeLeft, objective, refused: shed},
			random.fraction(),
		),
	};
}

/**
 * Reports a quarantined request and returns its answer. It has run before,
 * under this id or another one, so its answer must not certify "not run".
 */
export function quarantineRequest(
	{metrics, reporter}: ForwardingContext,
	{requestId}: CallerRequest,
	suspect: Suspect | undefined,
): OwnAnswer {
	metrics.requestQuarantined();
	reporter.decision('quarantined', requestId, 'quarantined', {
		...(suspect && {identity: suspect.identity, crashes: suspect.crashes}),
	});
	return {kind: 'own', status: 502, reason: 'quarantined'};
}
