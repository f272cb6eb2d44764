/**
 * The naive version, against which every differential test and the experiment
 * compare: round robin over the candidates, no limit of its own, first in
 * first out at the target up to its connections, and three tries at each layer
 * on any failure. It has no classes, no levels and no budgets. It stands behind
 * the same two interfaces as the policy that the node runs, so that both take
 * the same path.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {
	AdmissionPolicy,
	Policy,
	RoutingCandidate,
	RoutingPolicy,
} from '@egretspoke/decisions';

/** Tries at each layer, the first one included. */
export const naiveMaxAttempts = 3;

/** The level that lets everything in. */
const acceptAllLevel = 383;

/** The naive entry of the table of policies. */
export const naivePolicy: Policy = {
	name: 'naive',
	createAdmission: createNaiveAdmission,
	createRouting: createNaiveRouting,
};

/** Lets everything through to the target, which queues for itself. */
function createNaiveAdmission(): AdmissionPolicy {
	let inFlight = 0;
	return {
		arrive() {
			inFlight++;
			return {kind: 'dispatch', reason: 'everything is let in'};
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

/** Round robin, and another try after any failure while tries are left. */
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
				? refuse(ErrorCode.NoTarget, 'no candidate is known')
				: {kind: 'send', node: chosen.node, reason: 'its turn'};
		},
		started() {
			// Nothing is counted.
		},
		finished() {
			// Nothing is learnt.
		},
		observe() {
			// Load reports are not read.
		},
		retry: ({attempts}) =>
			attempts > 1
				? {kind: 'retry', delay: 0, exclude: [], reason: 'a try is left'}
				: refuse(ErrorCode.AttemptsSpent, 'no try is left'),
		downstreamAttempts: () => naiveMaxAttempts,
	};
}

function refuse(code: ErrorCode, reason: string) {
	return {kind: 'refuse' as const, code, reason, retryAfter: 0};
}
