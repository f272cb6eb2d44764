/**
 * Long operations among short ones.
 *
 * Load pattern: a few operations take many times as long as the others.
 * Without a rule they gather in the slots, because each that gets one keeps it
 * while many short ones come and go, until all slots hold long work; one
 * notices short requests that time out at a target which completes little.
 *
 * Long work of a class may hold the slots that short work of its own and the
 * higher classes doesn't need. The need is the short work's average number in
 * the slots by Little's law, measured as it runs, plus what of it waits now,
 * plus the square root of that: with no more than the average, arrivals that
 * vary by chance find all slots taken half of the time (square-root staffing,
 * Halfin & Whitt 1981).
 * What the rule leaves to long work is never less than an eighth of the slots,
 * so that it gets on as well. Essential long work yields to essential short
 * work only.
 *
 * Threshold: an operation is long at four times the typical duration; when
 * durations vary by chance (exponentially), only one request in fifty lasts as
 * long, so ordinary variation makes no operation long.
 */

export const longFactor = 4;
const minLongShare = 1 / 8;
/** Milliseconds after which the average follows a change by 1 - 1/e. */
const memory = 1000;

/** What runs, by class rank. */
export type SlotUsage = {
	longRunning: [number, number, number];
	shortRunning: [number, number, number];
	/** The moving average of `shortRunning`. */
	shortAverage: [number, number, number];
	averagedAt: number;
};

/** Creates the state of an idle target. */
export function createSlotUsage(now: number): SlotUsage {
	return {
		longRunning: [0, 0, 0],
		shortRunning: [0, 0, 0],
		shortAverage: [0, 0, 0],
		averagedAt: now,
	};
}

/** Whether an operation of this duration is long beside the typical one. */
export function isLongDuration(duration: number, typical: number): boolean {
	return typical > 0 && duration > longFactor * typical;
}

/** Counts a request as running (1) or ended (-1). */
export function countSlot(
	state: SlotUsage,
	rank: number,
	isLong: boolean,
	change: 1 | -1,
): void {
	const counts = isLong ? state.longRunning : state.shortRunning;
	counts[rank as 0 | 1 | 2] += change;
}

/** Brings the averages to this instant; to be called before the counts change. */
export function averageSlots(state: SlotUsage, now: number): void {
	const elapsed = now - state.averagedAt;
	if (elapsed <= 0) {
		return;
	}

	const weight = elapsed / (elapsed + memory);
	state.averagedAt = now;
	for (const rank of [0, 1, 2] as const) {
		state.shortAverage[rank] +=
			(state.shortRunning[rank] - state.shortAverage[rank]) * weight;
	}
}

/** Whether one more long request of the class may take a slot. */
export function mayRunLong(
	state: SlotUsage,
	rank: number,
	limit: number,
	shortWaitingCount: (rank: number) => number,
): boolean {
	let running = 0;
	let needed = 0;
	for (const other of [0, 1, 2] as const) {
		running += state.longRunning[other];
		if (other <= rank) {
			needed += state.shortAverage[other] + shortWaitingCount(other);
		}
	}

	const spread = Math.sqrt(needed);
	const left = Math.max(1, limit * minLongShare, limit - needed - spread);
	return running < left;
}
