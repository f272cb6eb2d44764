/**
 * The levels seen lately from one source. One wrong or late report must not
 * shut anything, so the median of the last five counts; and a level that
 * nobody has confirmed for a second relaxes over the next, so that the source
 * is asked again and a stale level can't refuse for ever.
 */
import {highestLevel} from './admission-level.js';

const sampleCount = 5;
const freshFor = 1000;
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
		median: highestLevel,
	};
}

/** Adds a level that was seen. */
export function addLevel(
	known: LevelSamples,
	level: number,
	now: number,
): void {
	known.levels[known.next] = level;
	known.next = (known.next + 1) % sampleCount;
	known.at = now;
	const sorted = known.levels.toSorted((left, right) => left - right);
	known.median = sorted[Math.floor(sorted.length / 2)] ?? highestLevel;
}

/** The median level, relaxed when it is old. */
export function currentLevel(known: LevelSamples, now: number): number {
	const age = now - known.at;
	if (age <= freshFor) {
		return known.median;
	}

	const relaxed = Math.min(1, (age - freshFor) / (relaxedAfter - freshFor));
	return known.median + (highestLevel - known.median) * relaxed;
}
