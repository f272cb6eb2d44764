/**
 * Records the events of a run and checks two guarantees: an attempt that was
 * reported as not run has not run, and a non-idempotent request runs at most
 * once.
 */
import type {AttemptResult} from '@egretspoke/decisions';
import type {Attempt, UserRequest} from './call.js';
import type {UserArrival} from './capacity.js';

/** A call to the deepest service, as observed by its caller. */
export type DeepCall = {
	/** Index of the target among those of its service. */
	index: number;
	endedAt: number;
	duration: number;
};

/** The record of one run. */
export type Tally = {
	/** All user arrivals; the same for every policy. */
	userArrivals: UserArrival[];
	requests: UserRequest[];
	deepCalls: DeepCall[];
	/** Instants at which a call arrived at a node of the deepest service. */
	deepArrivals: number[];
	/** Number of attempts that were reported as not run but had run or ran later. */
	notRunThatRan(): number;
	/** Number of non-idempotent requests that took effect more than once at a service. */
	ranTwice(): number;
	recordRequest(request: UserRequest): void;
	recordDeepArrival(): void;
	/** Adds the work of a target for a request, in milliseconds. */
	recordWork(request: UserRequest, duration: number): void;
	recordEffect(attempt: Attempt): void;
	recordNotRun(attempt: Attempt): void;
	recordAttemptEnd(
		attempt: Attempt,
		index: number,
		result: AttemptResult,
	): void;
};

/** Creates an empty record. */
export function createTally(now: () => number): Tally {
	const userArrivals: UserArrival[] = [];
	const requests: UserRequest[] = [];
	const deepCalls: DeepCall[] = [];
	const deepArrivals: number[] = [];
	const falseNotRun = new Set<Attempt>();

	return {
		userArrivals,
		requests,
		deepCalls,
		deepArrivals,
		notRunThatRan: () => falseNotRun.size,
		ranTwice: () =>
			requests.filter(({effects}) =>
				[...(effects?.values() ?? [])].some((count) => count > 1),
			).length,
		recordRequest(request) {
			requests.push(request);
		},
		recordDeepArrival() {
			deepArrivals.push(now());
		},
		recordWork(request, duration) {
			request.work += duration;
		},
		recordEffect(attempt) {
			countEffect(attempt);
			for (
				let each: Attempt | undefined = attempt;
				each;
				each = each.call.parent
			) {
				each.hasRun = true;
				if (each.reportedNotRun) {
					falseNotRun.add(each);
				}
			}
		},
		recordNotRun(attempt) {
			attempt.reportedNotRun = true;
			if (attempt.hasRun) {
				falseNotRun.add(attempt);
			}
		},
		recordAttemptEnd(attempt, index, {result, duration}) {
			if (attempt.call.plan.role === 'deep' && result !== 'notRun') {
				deepCalls.push({index, endedAt: now(), duration});
			}
		},
	};
}

function countEffect({call}: Attempt): void {
	const {request, service} = call;
	if (!request.operation.idempotent) {
		request.effects ??= new Map();
		request.effects.set(service, (request.effects.get(service) ?? 0) + 1);
	}
}
