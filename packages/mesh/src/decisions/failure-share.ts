/**
 * How much a target fails, by its answers.
 *
 * Load pattern: one of several targets fails a part of its requests while its
 * own report says that it is well. It answers its failures at once, so it
 * seems the least occupied of all and draws the work of the others; users see
 * a third of their requests fail with two healthy targets beside. So the share
 * of failures counts against a target like occupancy when one is chosen.
 *
 * The share sinks while nothing is tried: a target that is avoided could
 * otherwise never show that it has recovered.
 */

/** The failures of one target. */
export type FailureShare = {
	record(isFailure: boolean, now: number): void;
	/** From 0 to 1. */
	value(now: number): number;
};

/** The weight of an answer: about the last ten count. */
const answerWeight = 0.1;
/** Milliseconds in which the share halves without answers: a target is tried again within a few seconds. */
const halfLife = 1000;

/** Creates a share of 0. */
export function createFailureShare(): FailureShare {
	let share = 0;
	let notedAt = 0;
	const value = (now: number) => share * 0.5 ** ((now - notedAt) / halfLife);
	return {
		record(isFailure, now) {
			// Only silence lets the share sink; answers weigh by their number.
			const before = now - notedAt > halfLife ? value(now) : share;
			share = before + answerWeight * ((isFailure ? 1 : 0) - before);
			notedAt = now;
		},
		value,
	};
}
