/**
 * Tracks the recent duration of a target's runs.
 *
 * Load pattern: a few of many targets become tenfold slower, or worse, with
 * slots free. By its occupancy a slow target has room, so every node keeps
 * sending it work; every fifth view waits for it, and the shed levels of the
 * slow targets make the entry nodes refuse work that the others could run. So
 * the duration counts when a target is selected.
 */

/** The duration of one target's runs, in milliseconds; times are those of the steady clock. */
export type RunTime = {
	record(duration: number, now: number): void;
	/** The moving average; 0 while unknown. */
	value(now: number): number;
};

/** The weight of a run in the moving average, which covers about the last ten. */
const runWeight = 0.1;
/**
 * The time without runs after which the duration is unknown, in milliseconds. A
 * target that is avoided yields no new durations; its next run alone then sets
 * the value.
 */
const maxAge = 4000;

/** Creates the duration of a target without runs. */
export function createRunTime(): RunTime {
	let mean = 0;
	let recordedAt = Number.NEGATIVE_INFINITY;
	const isFresh = (now: number) => now - recordedAt <= maxAge;
	return {
		record(duration, now) {
			mean = isFresh(now) ? mean + runWeight * (duration - mean) : duration;
			recordedAt = now;
		},
		value: (now) => (isFresh(now) ? mean : 0),
	};
}
