/**
 * Counts what happens in a run and checks two promises as it goes: nothing
 * that was said not to have run has run, and nothing runs twice that must run
 * once.
 */
import type {AttemptResult} from '@egretspoke/decisions';
import type {Attempt, UserRequest} from './call.js';
import type {Want} from './capacity.js';

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
	wants: Want[];
	requests: UserRequest[];
	deepCalls: DeepCall[];
	/** Instants at which a call arrived at a node of the deepest service. */
	deepArrivals: number[];
	/** Attempts that were said not to have run, and had, or did later. */
	notRunThatRan(): number;
	/** Requests that may not be repeated and took effect more than once at a service. */
	ranTwice(): number;
	requestSent(request: UserRequest): void;
	reachedDeepest(): void;
	/** A target worked for a request, in milliseconds. */
	worked(request: UserRequest, duration: number): void;
	tookEffect(attempt: Attempt): void;
	saidNotRun(attempt: Attempt): void;
	attemptEnded(attempt: Attempt, index: number, result: AttemptResult): void;
};

/** Creates an empty record. */
export function createTally(now: () => number): Tally {
	const wants: Want[] = [];
	const requests: UserRequest[] = [];
	const deepCalls: DeepCall[] = [];
	const deepArrivals: number[] = [];
	const lies = new Set<Attempt>();

	return {
		wants,
		requests,
		deepCalls,
		deepArrivals,
		notRunThatRan: () => lies.size,
		ranTwice: () =>
			requests.filter(({effects}) =>
				[...(effects?.values() ?? [])].some((count) => count > 1),
			).length,
		requestSent(request) {
			requests.push(request);
		},
		reachedDeepest() {
			deepArrivals.push(now());
		},
		worked(request, duration) {
			request.work += duration;
		},
		tookEffect(attempt) {
			countEffect(attempt);
			for (
				let each: Attempt | undefined = attempt;
				each;
				each = each.call.parent
			) {
				each.hasRun = true;
				if (each.saidNotRun) {
					lies.add(each);
				}
			}
		},
		saidNotRun(attempt) {
			attempt.saidNotRun = true;
			if (attempt.hasRun) {
				lies.add(attempt);
			}
		},
		attemptEnded(attempt, index, {result, duration}) {
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
