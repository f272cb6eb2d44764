/**
 * How long a target takes for a request lately.
 *
 * Load pattern: a few of many targets turn slow, tenfold and more, with slots
 * free. By its occupancy a slow target has room, so each node goes on giving it
 * work; every fifth view waits for it, and the levels of the slow ones have the
 * entries refuse work that the others could run. So the time of a run counts
 * when a target is chosen.
 *
 * A target that is avoided shows nothing more. After a while without runs its
 * time counts as unknown, and the next run alone says how it is then.
 */

/** The time of one target's runs, in milliseconds; instants by the steady clock. */
export type RunTime = {
	record(duration: number, now: number): void;
	/** 0 while unknown. */
	value(now: number): number;
};

/** The weight of a run: about the last ten count. */
const runWeight = 0.1;
/** Milliseconds without runs after which the time is unknown. */
const freshTime = 4000;

/** Creates the time of a target that has run nothing. */
export function createRunTime(): RunTime {
	let mean = 0;
	let notedAt = Number.NEGATIVE_INFINITY;
	const isFresh = (now: number) => now - notedAt <= freshTime;
	return {
		record(duration, now) {
			mean = isFresh(now) ? mean + runWeight * (duration - mean) : duration;
			notedAt = now;
		},
		value: (now) => (isFresh(now) ? mean : 0),
	};
}
