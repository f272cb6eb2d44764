/**
 * The shed level for the sake of calls that can't be repeated often enough.
 *
 * Load pattern: answers of a deep service are lost, or its targets end, and
 * calls have to be sent to another target. The budget for that is a share of
 * the calls of the last seconds. When it is spent, of each request some call
 * fails, however many are let in; with fewer requests let in, what the last
 * seconds have left suffices for all calls of those. So the node that runs out
 * of budget asks the entries for less, as `shed-level.ts` does for a target.
 */
import {createRecentShare} from './recent-share.js';
import {createShedLevel, leastUnserved} from './shed-level.js';

/** The level of one node's calls. */
export type CallLevel = {
	/** A call has ended; whether it needed another target, and did not get one since the budget was spent. */
	note(wasLost: boolean, isUnserved: boolean, now: number): void;
	/** To be called in each period. */
	update(tiers: number, now: number): void;
	value(): number;
	/** Nothing would change with the next update. */
	isIdle(now: number): boolean;
};

/** Creates a level of 0. */
export function createCallLevel(): CallLevel {
	const lost = createRecentShare();
	const unserved = createRecentShare();
	const level = createShedLevel();
	return {
		note(wasLost, isUnserved, now) {
			lost.note(wasLost, now);
			unserved.note(isUnserved, now);
		},
		update(tiers, now) {
			level.update(
				{
					wait: 0,
					occupancy: 0,
					declined: lost.value(now),
					unserved: unserved.value(now),
				},
				tiers,
			);
		},
		value: () => level.value(),
		isIdle: (now) => level.value() === 0 && unserved.value(now) < leastUnserved,
	};
}
