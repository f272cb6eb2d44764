/**
 * A clock that advances only on request, for tests, fault schedules and the
 * experiment. Timers that are due at the same instant fire in the order in
 * which they were set, so a run depends only on its seed.
 */
import type {Clock, Timer} from './clock.js';

type TimerEntry = {
	at: number;
	order: number;
	callback: (() => void) | undefined;
};

/** A clock that is advanced by its user. */
export type VirtualClock = Clock & {
	/** Advances to the next timer and fires it; returns false when none is set. */
	step(): boolean;
	/** Advances to the instant and fires all timers that are due up to and including it. */
	advanceTo(instant: number): void;
	/** Like `advanceTo`, but runs promise callbacks between timers. */
	runTo(instant: number): Promise<void>;
	/** The number of timers that are set. */
	pending(): number;
};

/** Creates a virtual clock at instant 0. */
export function createVirtualClock(
	origin = new Date('2026-01-01T00:00:00Z'),
): VirtualClock {
	const heap: TimerEntry[] = [];
	let instant = 0;
	let order = 0;
	let pendingCount = 0;

	const step = (limit: number): boolean => {
		for (let entry = heap[0]; entry && entry.at <= limit; entry = heap[0]) {
			removeFirst(heap);
			const {callback} = entry;
			if (callback) {
				entry.callback = undefined;
				pendingCount--;
				instant = Math.max(instant, entry.at);
				callback();
				return true;
			}
		}

		return false;
	};

	return {
		now: () => instant,
		date: () => new Date(origin.getTime() + instant),
		setTimer(delay, callback): Timer {
			const entry: TimerEntry = {
				at: instant + Math.max(0, delay),
				order: order++,
				callback,
			};
			insert(heap, entry);
			pendingCount++;
			return {
				cancel() {
					if (entry.callback) {
						entry.callback = undefined;
						pendingCount--;
					}
				},
			};
		},
		step: () => step(Number.POSITIVE_INFINITY),
		advanceTo(target) {
			while (step(target)) {
				// Each call fires one timer that is due.
			}

			instant = Math.max(instant, target);
		},
		async runTo(target) {
			await settle();
			while (step(target)) {
				// eslint-disable-next-line no-await-in-loop -- timers fire one after another, and the promise callbacks of one run before the next.
				await settle();
			}

			instant = Math.max(instant, target);
		},
		pending: () => pendingCount,
	};
}

/** Runs all pending promise callbacks. */
async function settle(): Promise<void> {
	await new Promise<void>((resolve) => {
		setImmediate(resolve);
	});
}

function isBefore(left: TimerEntry, right: TimerEntry): boolean {
	return (
		left.at < right.at || (left.at === right.at && left.order < right.order)
	);
}

function insert(heap: TimerEntry[], entry: TimerEntry): void {
	let index = heap.push(entry) - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		const above = heap[parent]!;
		if (!isBefore(entry, above)) {
			break;
		}

		heap[index] = above;
		heap[parent] = entry;
		index = parent;
	}
}

function removeFirst(heap: TimerEntry[]): void {
	const last = heap.pop()!;
	if (heap.length === 0) {
		return;
	}

	let index = 0;
	for (;;) {
		let child = 2 * index + 1;
		if (child >= heap.length) {
			break;
		}

		if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
			child++;
		}

		if (!isBefore(heap[child]!, last)) {
			break;
		}

		heap[index] = heap[child]!;
		index = child;
	}

	heap[index] = last;
}
