/**
 * Tracks the ratio of a target's answers that are failures.
 *
 * Load pattern: one of several targets fails a part of its requests while its
 * own report says that it is healthy. It fails fast, so it seems the least
 * occupied and attracts the work of the others; users see a third of their
 * requests fail although two healthy targets are available. So the ratio of
 * failures counts like occupancy when a target is selected.
 */

/** The failures of one target; times are in milliseconds of the steady clock. */
export type FailureShare = {
	record(isFailure: boolean, now: number): void;
	/** From 0 to 1. */
	value(now: number): number;
};

/** The weight of an answer in the moving average, which covers about the last ten. */
const answerWeight = 0.1;
/**
 * The half-life of the ratio without answers, in milliseconds. A target that is
 * avoided could otherwise never show that it has recovered; it is tried again
 * within a few seconds.
 */
const halfLife = 1000;

/** Creates a ratio of 0. */
export function createFailureShare(): FailureShare {
	let share = 0;
	let recordedAt = 0;
	const value = (now: number) => share * 0.5 ** ((now - recordedAt) / halfLife);
	return {
		record(isFailure, now) {
			// The ratio decays only when answers stop; otherwise each answer has the same weight.
			const before = now - recordedAt > halfLife ? value(now) : share;
			share = before + answerWeight * ((isFailure ? 1 : 0) - before);
			recordedAt = now;
		},
		value,
	};
}
