/**
 * Counts what happens in a run and checks two promises as it goes: nothing
 * that was said not to have run has run, and nothing runs twice that must run
 * once.
 */
import type {AttemptResult} from '@egretspoke/decisions';
import type {Attempt, UserRequest} from './call.js';
import type {UserArrival} from './capacity.js';

/** A call to the deepest service as its caller saw it. */
export type DeepCall = {
	/** The number of the target among those of its service. */
	index: number;
	endedAt: number;
	duration: number;
};

/** The record of one run. */
export type Tally = {
	/** Every want that arose; the same for every policy. */
	userArrivals: UserArrival[];
	requests: UserRequest[];
	deepCalls: DeepCall[];
	/** Instants at which a call arrived at a node of the deepest service. */
	deepArrivals: number[];
	/** Attempts that were said not to have run, and had, or did later. */
	notRunThatRan(): number;
	/** Requests that may not be repeated and took effect more than once at a service. */
	ranTwice(): number;
	recordRequest(request: UserRequest): void;
	recordDeepArrival(): void;
	/** A target worked for a request, in milliseconds. */
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
