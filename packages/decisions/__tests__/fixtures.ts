/** What the tests of the decisions share: facts of a call, and one target played on a virtual clock. */
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

/** A stream of calls, Poisson at `rate` a millisecond. */
export type Stream = {
	rate: number;
	/** Mean milliseconds that a call keeps its slot. */
	duration: number;
	/** Milliseconds that its caller waits. */
	patience: number;
	call: Partial<CallFacts>;
};

/** How a call ended and what for. */
export type Ending = {
	stream: number;
	call: CallFacts;
	arrivedAt: number;
	result: 'served' | 'late' | ErrorCode;
};

/** Plays streams against one target's admission until `length`, then until nothing is left. */
export function playTarget(
	admission: AdmissionPolicy,
	streams: Stream[],
	length: number,
	random: Random = createRandom(7),
): {endings: Ending[]; mostRunning: number} {
	const clock = createVirtualClock();
	const endings: Ending[] = [];
	const waiting = new Map<string, Ending>();
	let running = 0;
	let mostRunning = 0;
	let identifiers = 0;
	const exponential = (mean: number) => -Math.log(1 - random.fraction()) * mean;

	const end = (ending: Ending, result: Ending['result']) => {
		endings.push({...ending, result});
	};

	const run = (ending: Ending) => {
		const duration = exponential(streams[ending.stream]!.duration);
		mostRunning = Math.max(mostRunning, ++running);
		clock.setTimer(duration, () => {
			running--;
			const isLate = clock.now() > ending.call.deadline;
			end(ending, isLate ? 'late' : 'served');
			const completion = {duration, result: 'ok' as const};
			admission.finish(ending.call.id, completion, clock.now());
			takeTurns();
		});
	};

	const takeTurns = () => {
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
			clock.setTimer(at - clock.now(), takeTurns);
		}
	};

	const arrive = (stream: number) => {
		const {rate, patience, call: changes} = streams[stream]!;
		const now = clock.now();
		if (now >= length) {
			return;
		}

		const id = `call-${identifiers++}`;
		const call = createCall(id, {...changes, deadline: now + patience});
		const ending: Ending = {stream, call, arrivedAt: now, result: 'late'};
		const decision = admission.arrive(call, now);
		if (decision.kind === 'dispatch') {
			run(ending);
		} else if (decision.kind === 'wait') {
			waiting.set(id, ending);
			takeTurns();
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
		// Until no arrival, run or wake-up is left.
	}

	return {endings, mostRunning};
}

/** The share of a stream's calls that arrived after `since` and were served in time. */
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
