/**
 * The slots of one target: what runs in them, how many may, and what is learnt
 * from each end.
 */
import {
	createConcurrencyLimit,
	noteFull,
	noteLatency,
	noteShed,
} from './concurrency-limit.js';
import type {AdmissionOptions} from './admission-options.js';
import {beginChain, endChain} from './downstream-levels.js';
import {
	averageSlots,
	countSlot,
	createLongAmongShort,
	mayRunLong,
} from './long-among-short.js';
import {
	countRunning,
	createOperationDurations,
	learnDuration,
	scaleToReference,
	type OperationDurations,
} from './operation-durations.js';
import type {AdmissionContext, CallFacts, Completion} from './policy.js';

/** What the slots need to know of a request. */
export type SlotEntry = {
	call: CallFacts;
	/** Its class. */
	rank: number;
	isLong: boolean;
	priority: number;
};

/** The slots of one target. */
export type SlotTable = {
	durations: OperationDurations;
	/** Slots in force. */
	limit(): number;
	running(): number;
	isFree(): boolean;
	/** Whether one more long request of the class may have a slot. */
	mayRunLong(rank: number, shortWaiting: (rank: number) => number): boolean;
	/** To be called before anything changes at an instant. */
	advance(now: number): void;
	begin(entry: SlotEntry): void;
	/** The request that has ended; undefined when no such request runs. */
	end(id: string, completion: Completion): CallFacts | undefined;
};

/** Whether an end tells how long the operation takes, or only that it is no shorter. */
const isWholeDuration: Partial<Record<Completion['result'], boolean>> = {
	ok: true,
	timeout: false,
	cancelled: false,
};

/** Creates idle slots. */
export function createSlotTable(
	{slots, downstreamLevels: below}: AdmissionContext,
	options: AdmissionOptions,
): SlotTable {
	const durations = createOperationDurations();
	const limit = createConcurrencyLimit(slots);
	const entries = new Map<string, SlotEntry>();
	let counts: ReturnType<typeof createLongAmongShort> | undefined;

	const learn = ({operation}: CallFacts, {duration, result}: Completion) => {
		if (result === 'ok') {
			noteLatency(limit, scaleToReference(durations, operation, duration));
		} else if (result === 'shed') {
			noteShed(limit, entries.size + 1);
		}

		const isWhole = isWholeDuration[result];
		if (isWhole !== undefined) {
			learnDuration(durations, operation, duration, isWhole);
		}
	};

	const count = ({call, rank, isLong}: SlotEntry, change: 1 | -1) => {
		if (counts) {
			countSlot(counts, rank, isLong, change);
		}

		countRunning(durations, call.operation, change);
	};

	return {
		durations,
		limit: () => options.limitOf(limit),
		running: () => entries.size,
		isFree: () => entries.size < options.limitOf(limit),
		mayRunLong: (rank, shortWaiting) =>
			counts === undefined ||
			mayRunLong(counts, rank, options.limitOf(limit), shortWaiting),
		advance(now) {
			counts ??= createLongAmongShort(now);
			averageSlots(counts, now);
		},
		begin(entry) {
			const {call, priority} = entry;
			entries.set(call.id, entry);
			count(entry, 1);
			if (entries.size >= options.limitOf(limit)) {
				noteFull(limit);
			}

			if (below) {
				beginChain(below, call.chain ?? call.id, call.operation, priority);
			}
		},
		end(id, completion) {
			const entry = entries.get(id);
			if (!entry) {
				return undefined;
			}

			entries.delete(id);
			count(entry, -1);
			learn(entry.call, completion);
			if (below) {
				endChain(below, entry.call.chain ?? id);
			}

			return entry.call;
		},
	};
}
