/**
 * The shed level that a target's own calls have met lately.
 *
 * Load pattern: overload two or more calls deep. The level of a deep service
 * (see `shed-level.ts`) comes back with the answers to the calls made here, and
 * goes on to whoever calls this service, so that it reaches the entries. It
 * follows the answers by an eighth each: targets of one service differ, and
 * their levels come in turn.
 */

/** The level, in priorities that are refused. */
export type DeeperLevel = {
	note(level: number, now: number): void;
	value(now: number): number;
};

/** Milliseconds that a level counts after the last call; calls come many times a second under load. */
const lifeTime = 1000;
/** The weight of the latest answer. */
const answerWeight = 1 / 8;

/** Creates a level of 0. */
export function createDeeperLevel(): DeeperLevel {
	let level = 0;
	let until = Number.NEGATIVE_INFINITY;
	return {
		note(noted, now) {
			level = now < until ? level + (noted - level) * answerWeight : noted;
			until = now + lifeTime;
		},
		value: (now) => (now < until ? level : 0),
	};
}
