/**
 * Limits the slots of long operations, so that short ones still get slots.
 *
 * Load pattern: a few operations take many times as long as the others. Each
 * long request keeps its slot while many short ones come and go, until long
 * requests hold all slots; short requests time out while the target completes
 * little.
 *
 * Long requests of a class may use the slots that short requests of the same
 * and higher classes don't need. That need is the average number of running
 * short requests (Little's law), plus those that wait, plus the square root of
 * the sum: with the average alone, random arrivals would find all slots taken
 * half of the time (square-root staffing, Halfin & Whitt 1981). Essential long
 * requests yield to essential short ones only.
 */

/**
 * An operation is long at four times the typical duration. With exponentially
 * distributed durations only one request in fifty takes that long, so ordinary
 * variation makes no operation long.
 */
export const longFactor = 4;
/** An eighth of the slots always remains for long requests, so that they progress as well. */
const minLongShare = 1 / 8;
/**
 * The time constant of the moving average, in milliseconds: after it the
 * average has followed a change by 1 - 1/e.
 */
const memory = 1000;

/** The running requests by class rank. */
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

/** Whether an operation of this duration is long compared with the typical one. */
export function isLongDuration(duration: number, typical: number): boolean {
	return typical > 0 && duration > longFactor * typical;
}

/** Records a request as running (1) or ended (-1). */
export function countSlot(
	state: SlotUsage,
	rank: number,
	isLong: boolean,
	change: 1 | -1,
): void {
	const counts = isLong ? state.longRunning : state.shortRunning;
	counts[rank as 0 | 1 | 2] += change;
}

/** Updates the averages to the current time. Must be called before the counts change. */
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

/** Whether one more long request of the class may get a slot. */
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
