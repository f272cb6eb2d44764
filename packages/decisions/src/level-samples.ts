/**
 * The recent levels from one source. The median of the last five is used, so
 * that one wrong or late report has no effect. A level that isn't confirmed
 * for a second rises to the maximum over the next one; requests then reach the
 * source again, and an outdated level can't refuse them forever.
 */
import {maxLevel} from './admission-level.js';

const sampleCount = 5;
/** Milliseconds for which the median holds without a new sample. */
const freshDuration = 1000;
/** Milliseconds without a new sample after which all requests are admitted. */
const relaxedAfter = 2000;

/** The recent levels and their median. */
export type LevelSamples = {
	levels: number[];
	next: number;
	at: number;
	median: number;
};

/** Creates the samples of a source that admits all requests. */
export function createLevelSamples(): LevelSamples {
	return {
		levels: [],
		next: 0,
		at: Number.NEGATIVE_INFINITY,
		median: maxLevel,
	};
}

/** Records a level. */
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

/** The median level, raised with the age of the last sample. */
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
