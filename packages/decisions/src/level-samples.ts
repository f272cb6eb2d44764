/**
 * The levels seen lately from one source. One wrong or late report must not
 * shut anything, so the median of the last five counts; and a level that
 * nobody has confirmed for a second relaxes over the next, so that the source
 * is asked again and a stale level can't refuse for ever.
 */
import {maxLevel} from './admission-level.js';

const sampleCount = 5;
const freshDuration = 1000;
const relaxedAfter = 2000;

/** The last levels and their median. */
export type LevelSamples = {
	levels: number[];
	next: number;
	at: number;
	median: number;
};

/** Creates the samples of one source, open. */
export function createLevelSamples(): LevelSamples {
	return {
		levels: [],
		next: 0,
		at: Number.NEGATIVE_INFINITY,
		median: maxLevel,
	};
}

/** Adds a level that was seen. */
export function addLevel(
	samples: LevelSamples,
	level: number,
	now: number,
): void {
	samples.levels[samples.next] = level;
	samples.next = (samples.next + 1) % sampleCount;
	samples.at = now;
	const sorted = samples.levels.toSorted((left, right) => left - right);
	samples.median = sorted[Math.floor(sorted.length / 2)] ?? maxLevel;
}

/** The median level, relaxed when it is old. */
export function currentLevel(samples: LevelSamples, now: number): number {
	const age = now - samples.at;
	if (age <= freshDuration) {
		return samples.median;
	}

	const relaxed = Math.min(
		1,
		(age - freshDuration) / (relaxedAfter - freshDuration),
	);
	return samples.median + (maxLevel - samples.median) * relaxed;
}
