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
 * A target may also turn away work while nothing waits and slots are free.
 * What can't be offered again within the bound on repeats ends declined, and
 * with it the whole request that it belongs to. The level then rises as well,
 * until the repeats suffice for what is still let in: some requests are whole
 * then, and the others are told at once that they have not run, where
 * otherwise a part of each fails.
 *
 * The level is an integral: it rises with every period in which work waits
 * longer than the target wait and sinks slowly otherwise, and so finds the
 * share that fits without knowing any capacity. One whole unit refuses one
 * whole priority.
 */
import {shareOfSlice, wholeSlice, type ShedSlice} from './shed-order.js';

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
	/** The share of the offers to it that it declined or lost. */
	declined: number;
	/** The share of requests that ended without the repeat that they needed. */
	unserved: number;
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
 * is refused now is refused for nothing.
 */
const fallWithRoom = 0.15;
/** The occupancy below which a target has slots to spare; it is held near 1 while a level limits it. */
const roomyOccupancy = 0.8;

/** The share of requests that may end declined; a request is whole only if none of its calls is among them. */
export const leastUnserved = 0.05;
/** Rise in one period when all requests end unserved; it is as slow as the sinking near the share that may. */
const riseOfUnserved = 0.4;
/** The part of the highest priority that is refused at most for requests that end unserved. */
const mostOfHighest = 0.6;
/** The share of offers that a target declines while it is ill; then what it has to spare is no room. */
const illDeclined = 0.1;

/** Creates a level of 0. */
export function createShedLevel(): ShedLevel {
	let level = 0;
	return {
		update(pressure, tiers) {
			const byWait = changeByWait(pressure);
			const room = Math.max(0, tiers - 1 + mostOfHighest - level);
			const byUnserved = Math.min(room, changeByUnserved(pressure));
			const change = Math.min(mostRise, Math.max(byWait, byUnserved));
			level = Math.min(tiers, Math.max(0, level + change));
		},
		value: () => level,
	};
}

function changeByWait({wait, occupancy, declined}: Pressure): number {
	const excess = wait / targetWait - 1;
	const hasRoom = occupancy < roomyOccupancy && declined < illDeclined;
	const sinking = hasRoom ? fallWithRoom : fall;
	return excess > 0 ? rise * excess : sinking * excess;
}

/** Without a limit below while it doesn't rise, so that the wait alone decides then. */
function changeByUnserved({unserved}: Pressure): number {
	return unserved > leastUnserved
		? riseOfUnserved * (unserved - leastUnserved)
		: Number.NEGATIVE_INFINITY;
}

/**
 * The most of a priority that is refused before a more important one is
 * touched. Callers of the least important requests are still served now and
 * then, and see that the service lives; and the level, which follows the wait
 * with a delay, doesn't swing between everything and nothing.
 */
const mostShedFirst = 0.8;
/** The most that is refused when the level has gone on nearly through the next priority: what is left is for that. */
const mostShed = 0.98;
/** How far the level has gone on, in priorities, when more is refused than at first, and when the most is. */
const furtherLevel = {begin: 0.75, end: 1};

/** The share of a route's requests that is refused at a level; `tiersBelow` priorities go first, then the slice says when within its own. */
export function shedShare(
	level: number,
	tiersBelow: number,
	slice: ShedSlice = wholeSlice,
): number {
	const own = level - tiersBelow;
	const {begin, end} = furtherLevel;
	const further = Math.min(1, Math.max(0, (own - 1 - begin) / (end - begin)));
	const most = mostShedFirst + (mostShed - mostShedFirst) * further;
	return Math.min(most, shareOfSlice(own, slice));
}
