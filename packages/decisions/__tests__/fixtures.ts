/** Fixtures of the decision tests: call attributes, and a simulated target on a virtual clock. */
import {
	createRandom,
	createVirtualClock,
	type Random,
} from '@egretspoke/shared';
import type {ErrorCode} from '@egretspoke/protocol';
import {
	createEgretspokePolicy,
	type AdmissionPolicy,
	type CallFacts,
	type Mechanism,
} from '../src/index.js';

export const createCall = (
	id: string,
	changes: Partial<CallFacts> = {},
): CallFacts => ({
	id,
	service: 'orders',
	requestClass: 'normal',
	caller: 'loft-1',
	operation: 'POST /orders',
	deadline: 1000,
	attempts: 3,
	idempotent: true,
	...changes,
});

export const createAdmissionOf = (
	slots: number,
	without: Mechanism[] = [],
): AdmissionPolicy =>
	createEgretspokePolicy(new Set(without)).createAdmission({
		service: 'orders',
		slots,
		dataCentre: 'a',
		random: createRandom(1),
	});

/** A stream of calls with Poisson arrivals at `rate` per millisecond. */
export type Stream = {
	rate: number;
	/** The mean time for which a call holds its slot, in milliseconds. */
	duration: number;
	/** Milliseconds until its caller gives up. */
	callerTimeout: number;
	call: Partial<CallFacts>;
};

/** A call and its result. */
export type Ending = {
	stream: number;
	call: CallFacts;
	arrivedAt: number;
	result: 'served' | 'late' | ErrorCode;
};

/**
 * Simulates one target's admission with streams that arrive until `length`,
 * and runs until no request is left.
 */
export function simulateTarget(
	admission: AdmissionPolicy,
	streams: Stream[],
	length: number,
	random: Random = createRandom(7),
): {endings: Ending[]; maxRunning: number} {
	const clock = createVirtualClock();
	const endings: Ending[] = [];
	const waiting = new Map<string, Ending>();
	let running = 0;
	let maxRunning = 0;
	let identifiers = 0;
	const exponential = (mean: number) => -Math.log(1 - random.fraction()) * mean;

	const end = (ending: Ending, result: Ending['result']) => {
		endings.push({...ending, result});
	};

	const run = (ending: Ending) => {
		const duration = exponential(streams[ending.stream]!.duration);
		maxRunning = Math.max(maxRunning, ++running);
		clock.setTimer(duration, () => {
			running--;
			const isLate = clock.now() > ending.call.deadline;
			end(ending, isLate ? 'late' : 'served');
			const completion = {duration, result: 'ok' as const};
			admission.finish(ending.call.id, completion, clock.now());
			processQueue();
		});
	};

	const processQueue = () => {
		for (const turn of admission.processQueue(clock.now())) {
			const ending = waiting.get(turn.id)!;
			waiting.delete(turn.id);
			if (turn.kind === 'dispatch') {
				run(ending);
			} else {
				end(ending, turn.code);
			}
		}

		const at = admission.wakeAt();
		if (at !== undefined) {
			clock.setTimer(at - clock.now(), processQueue);
		}
	};

	const arrive = (stream: number) => {
		const {rate, callerTimeout, call: changes} = streams[stream]!;
		const now = clock.now();
		if (now >= length) {
			return;
		}

		const id = `call-${identifiers++}`;
		const call = createCall(id, {...changes, deadline: now + callerTimeout});
		const ending: Ending = {stream, call, arrivedAt: now, result: 'late'};
		const decision = admission.arrive(call, now);
		if (decision.kind === 'dispatch') {
			run(ending);
		} else if (decision.kind === 'wait') {
			waiting.set(id, ending);
			processQueue();
		} else {
			end(ending, decision.code);
		}

		clock.setTimer(exponential(1 / rate), () => {
			arrive(stream);
		});
	};

	for (const stream of streams.keys()) {
		arrive(stream);
	}

	while (clock.step()) {
		// Runs until no arrival, request or wake-up is left.
	}

	return {endings, maxRunning};
}

/**
 * The ratio of a stream's calls that arrived after `since` and were served
 * before their deadline.
 */
export function servedShare(
	endings: Ending[],
	stream: number,
	since = 0,
): number {
	const own = endings.filter(
		(ending) => ending.stream === stream && ending.arrivedAt >= since,
	);
	return own.filter(({result}) => result === 'served').length / own.length;
}
