/**
 * Naive policy, the baseline of differential tests and of the experiment: round
 * robin over the candidates, no concurrency limit, FIFO order at the target up to
 * its connections, and three attempts at each layer on any failure, without
 * classes, levels or budgets. It implements the same two interfaces as the node's
 * policy, so that both run the same code path.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {
	AdmissionPolicy,
	Policy,
	RoutingCandidate,
	RoutingPolicy,
} from '@egretspoke/decisions';

/** Maximum attempts at each layer, including the first. */
export const naiveMaxAttempts = 3;

/** The shed level that admits all requests. */
const acceptAllLevel = 383;

/** The naive policy. */
export const naivePolicy: Policy = {
	name: 'naive',
	createAdmission: createNaiveAdmission,
	createRouting: createNaiveRouting,
};

/** Dispatches all requests to the target, which queues them. */
function createNaiveAdmission(): AdmissionPolicy {
	let inFlight = 0;
	return {
		arrive() {
			inFlight++;
			return {kind: 'dispatch', reason: 'all requests are admitted'};
		},
		withdraw: () => false,
		finish() {
			inFlight--;
		},
		processQueue: () => [],
		wakeAt: () => undefined,
		drain: () => [],
		report: () => ({
			inFlight,
			limit: Number.MAX_SAFE_INTEGER,
			waiting: 0,
			queueDelay: 0,
			level: acceptAllLevel,
			serviceTime: 0,
		}),
	};
}

/** Round robin, with a retry after any failure while attempts are left. */
function createNaiveRouting(): RoutingPolicy {
	const candidates = new Map<string, RoutingCandidate[]>();
	const nextIndex = new Map<string, number>();

	return {
		candidatesChanged(service, list) {
			candidates.set(
				service,
				list.filter(({state}) => state !== 'leaving'),
			);
		},
		choose({service}) {
			const list = candidates.get(service) ?? [];
			const index = nextIndex.get(service) ?? 0;
			nextIndex.set(service, index + 1);
			const chosen = list[index % list.length];
			return chosen === undefined
				? refuse(ErrorCode.NoTarget, 'no candidate available')
				: {kind: 'send', node: chosen.node, reason: 'next in round robin'};
		},
		started() {
			// No state is tracked.
		},
		finished() {
			// Results are ignored.
		},
		observe() {
			// Load reports are ignored.
		},
		retry: ({attempts}) =>
			attempts > 1
				? {kind: 'retry', delay: 0, exclude: [], reason: 'attempts are left'}
				: refuse(ErrorCode.AttemptsSpent, 'no attempts are left'),
		downstreamAttempts: () => naiveMaxAttempts,
	};
}

function refuse(code: ErrorCode, reason: string) {
	return {kind: 'refuse' as const, code, reason, retryAfter: 0};
}
