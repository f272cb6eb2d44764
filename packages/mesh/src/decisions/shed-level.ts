/**
 * How much new work a target's node asks the entries to refuse.
 *
 * Load pattern: demand above capacity that lasts, at the target or at a
 * service that it calls. Refused at the deep service, each call wastes all
 * the work that was done above it: a request that makes ten calls, a third of
 * which are refused, is almost never whole, so the goodput falls to nothing
 * while every slot is busy. So the deep service refuses hardly anything: its
 * level rises while work waits, travels up the call graph with the answers,
 * and the entries refuse requests before their first work is done, the least
 * important first.
 *
 * The level is an integral: it rises with every period in which work waits
 * longer than the target wait and sinks slowly otherwise, and so finds the
 * share that fits without knowing any capacity. One whole unit refuses one
 * whole priority.
 */

/** The level of one target, in priorities that are refused, 0 when nothing is. */
export type ShedLevel = {
	update(pressure: Pressure, tiers: number): void;
	value(): number;
};

/** How a target is pressed now. */
export type Pressure = {
	/** Milliseconds that a new request would wait. */
	wait: number;
	/** What it runs, over what it may run at once. */
	occupancy: number;
};

/** Milliseconds between two updates; a few answers of the fastest services. */
export const shedPeriod = 100;
/**
 * Milliseconds that work may wait in a steady state: small against the
 * tightest objective of a caller (100 ms), long against scheduling noise.
 */
const targetWait = 15;
/** Rise in one period when the wait is twice the target: a whole priority in two seconds. */
const rise = 0.05;
/** The most that one period adds, so that one stall does not refuse everything. */
const mostRise = 0.15;
/** Sinking in one period without any wait, while the target is about full: a whole priority in five seconds. */
const fall = 0.02;
/**
 * Sinking in one period of a target that has slots to spare: a whole priority
 * in 0.7 s. While a level holds back demand that is still there, the slots are
 * about full; when a fifth of them is free, the demand has gone, and whoever
 * is refused now is refused for nothing. Two seconds after a burst of 1.8 times
 * the usual load, 1,528 in place of 903 of 1,533 callers had their answer within
 * their objective, and five seconds after a restart of every node 1,185 in place
 * of 823 of 1,507 (fifteen nodes, played once, together with the choice of
 * targets in `target-selection.ts`).
 */
const fallWithRoom = 0.15;
/** The occupancy below which a target has slots to spare; it is held near 1 while a level limits it. */
const roomyOccupancy = 0.8;

/** Creates a level of 0. */
export function createShedLevel(): ShedLevel {
	let level = 0;
	return {
		update({wait, occupancy}, tiers) {
			const excess = wait / targetWait - 1;
			const sinking = occupancy < roomyOccupancy ? fallWithRoom : fall;
			const change =
				excess > 0 ? Math.min(mostRise, rise * excess) : sinking * excess;
			level = Math.min(tiers, Math.max(0, level + change));
		},
		value: () => level,
	};
}

/**
 * The most of a priority that is refused while a more important one is not
 * yet touched. Callers of the least important requests are still served now
 * and then, and see that the service lives.
 */
const mostShed = 0.8;

/** The share of the requests that is refused at a level; `tiersBelow` priorities go first. */
export function shedShare(level: number, tiersBelow: number): number {
	return Math.min(mostShed, Math.max(0, level - tiersBelow));
}
