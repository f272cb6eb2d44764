/** Random choices among values. */
import type {Random} from './random.js';

/** Returns `count` of the values, each chosen with equal probability. */
export function sample<T>(values: T[], count: number, random: Random): T[] {
	return shuffle(values, random).slice(0, count);
}

/** Returns a shuffled copy (Fisher–Yates). */
export function shuffle<T>(values: T[], random: Random): T[] {
	const copy = [...values];
	for (let index = copy.length - 1; index > 0; index--) {
		const other = random.below(index + 1);
		[copy[index], copy[other]] = [copy[other]!, copy[index]!];
	}

	return copy;
}
