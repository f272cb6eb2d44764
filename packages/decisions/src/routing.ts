/**
 * Routing at the entry node: the better of two candidates drawn at random, and
 * another attempt only after a definite refusal.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {
	AttemptResult,
	CallFacts,
	PolicyContext,
	RefusalDecision,
	RoutingCandidate,
	RoutingPolicy,
} from './policy.js';

/** Milliseconds before a caller comes back when nothing better is known. */
const comeBackTime = 250;

/** Creates the routing of one entry node. */
export function createRouting(context: PolicyContext): RoutingPolicy {
	const {random} = context;
	const candidates = new Map<string, RoutingCandidate[]>();
	const inFlight = new Map<string, number>();

	const draw = (pool: RoutingCandidate[]) => pool[random.below(pool.length)]!;
	const load = (candidate: RoutingCandidate) =>
		(inFlight.get(candidate.node) ?? 0) / candidate.slots;

	return {
		candidatesChanged(service, list) {
			candidates.set(service, list);
		},
		choose(call, exclude) {
			const known = (candidates.get(call.service) ?? []).filter(
				({node, state}) => state !== 'leaving' && !exclude.includes(node),
			);
			const active = known.filter(({state}) => state === 'active');
			const pool = active.length > 0 ? active : known;
			if (pool.length === 0) {
				return refuse(ErrorCode.NoTarget, 'no candidate is left');
			}

			const first = draw(pool);
			const second = draw(pool);
			const better = load(second) < load(first) ? second : first;
			return {
				kind: 'send',
				node: better.node,
				reason: `${first.node} or ${second.node}`,
			};
		},
		started(_call, node) {
			inFlight.set(node, (inFlight.get(node) ?? 0) + 1);
		},
		finished(_call, {node}) {
			const left = (inFlight.get(node) ?? 1) - 1;
			if (left > 0) {
				inFlight.set(node, left);
			} else {
				inFlight.delete(node);
			}
		},
		observe() {
			// The reports are of use to the modules that follow.
		},
		retry: (call, result, now) => decideRetry(call, result, now),
		attemptsBelow: (call) => Math.max(1, call.attempts - 1),
	};
}

function decideRetry(call: CallFacts, result: AttemptResult, now: number) {
	if (call.attempts <= 1) {
		return refuse(ErrorCode.AttemptsSpent, 'no attempt is left', result);
	}

	if (call.deadline <= now) {
		return refuse(ErrorCode.DeadlinePassed, 'the deadline has passed', result);
	}

	if (result.code === ErrorCode.Leaving || result.result === 'unreachable') {
		return {
			kind: 'retry' as const,
			delay: 0,
			exclude: [result.node],
			reason: `${result.node} did not run it`,
		};
	}

	return refuse(
		result.code ?? ErrorCode.Overloaded,
		'overload is not retried',
		result,
	);
}

function refuse(
	code: ErrorCode,
	reason: string,
	result?: AttemptResult,
): RefusalDecision {
	return {
		kind: 'refuse',
		code,
		reason,
		retryAfter: result?.retryAfter ?? comeBackTime,
	};
}
