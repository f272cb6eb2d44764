/**
 * The slots of one target: the running requests, their limit, and the
 * statistics updated when a request ends.
 */
import {
	createConcurrencyLimit,
	recordFull,
	recordLatency,
	recordShed,
} from './concurrency-limit.js';
import type {AdmissionOptions} from './admission-options.js';
import {beginChain, endChain} from './downstream-levels.js';
import {
	averageSlots,
	countSlot,
	createSlotUsage,
	mayRunLong,
} from './long-operation-limit.js';
import {
	countRunning,
	createOperationDurations,
	recordDuration,
	scaleToReference,
	type OperationDurations,
} from './operation-durations.js';
import type {AdmissionContext, CallFacts, Completion} from './policy.js';

/** The request attributes that the slots use. */
export type SlotEntry = {
	call: CallFacts;
	/** The rank of its class. */
	rank: number;
	isLong: boolean;
	priority: number;
};

/** The slots of one target. */
export type SlotTable = {
	durations: OperationDurations;
	/** The current concurrency limit, in slots. */
	limit(): number;
	running(): number;
	isFree(): boolean;
	/** Whether one more long request of the class may get a slot. */
	mayRunLong(
		rank: number,
		shortWaitingCount: (rank: number) => number,
	): boolean;
	/** Updates the averages to the current time. Must be called before requests begin or end. */
	advance(now: number): void;
	begin(entry: SlotEntry): void;
	/** Frees the slot and returns the request that has ended; undefined when no such request runs. */
	end(id: string, completion: Completion): CallFacts | undefined;
};

/**
 * Whether the duration of a result is complete or only a lower bound; other
 * results have no usable duration.
 */
const isCompleteDuration: Partial<Record<Completion['result'], boolean>> = {
	ok: true,
	timeout: false,
	cancelled: false,
};

/** Creates idle slots. */
export function createSlotTable(
	{slots, downstreamLevels}: AdmissionContext,
	options: AdmissionOptions,
): SlotTable {
	const durations = createOperationDurations();
	const limit = createConcurrencyLimit(slots);
	const entries = new Map<string, SlotEntry>();
	let usage: ReturnType<typeof createSlotUsage> | undefined;

	const learn = ({operation}: CallFacts, {duration, result}: Completion) => {
		if (result === 'ok') {
			recordLatency(limit, scaleToReference(durations, operation, duration));
		} else if (result === 'shed') {
			recordShed(limit, entries.size + 1);
		}

		const isComplete = isCompleteDuration[result];
		if (isComplete !== undefined) {
			recordDuration(durations, operation, duration, isComplete);
		}
	};

	const count = ({call, rank, isLong}: SlotEntry, change: 1 | -1) => {
		if (usage) {
			countSlot(usage, rank, isLong, change);
		}

		countRunning(durations, call.operation, change);
	};

	return {
		durations,
		limit: () => options.limitOf(limit),
		running: () => entries.size,
		isFree: () => entries.size < options.limitOf(limit),
		mayRunLong: (rank, shortWaitingCount) =>
			usage === undefined ||
			mayRunLong(usage, rank, options.limitOf(limit), shortWaitingCount),
		advance(now) {
			usage ??= createSlotUsage(now);
			averageSlots(usage, now);
		},
		begin(entry) {
			const {call, priority} = entry;
			entries.set(call.id, entry);
			count(entry, 1);
			if (entries.size >= options.limitOf(limit)) {
				recordFull(limit);
			}

			if (downstreamLevels) {
				beginChain(
					downstreamLevels,
					call.chain ?? call.id,
					call.operation,
					priority,
				);
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
			if (downstreamLevels) {
				endChain(downstreamLevels, entry.call.chain ?? id);
			}

			return entry.call;
		},
	};
}
