/** Finds the known key that a misspelled key most likely stands for. */

/**
 * Returns the known key with the smallest edit distance to the written key if
 * the distance is small enough for a typo; undefined otherwise.
 */
export function findNearestKey(
	written: string,
	known: readonly string[],
): string | undefined {
	let nearest: string | undefined;
	let minDistance = Math.max(2, Math.floor(written.length / 2)) + 1;
	for (const key of known) {
		const distance = measureDistance(written.toLowerCase(), key.toLowerCase());
		if (distance < minDistance) {
			minDistance = distance;
			nearest = key;
		}
	}

	return nearest;
}

/** Computes the Levenshtein distance, one row at a time. */
function measureDistance(left: string, right: string): number {
	let above = Array.from({length: right.length + 1}, (_, index) => index);
	for (let row = 1; row <= left.length; row++) {
		const current = [row];
		for (let column = 1; column <= right.length; column++) {
			const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
			current.push(
				Math.min(
					above[column]! + 1,
					current[column - 1]! + 1,
					above[column - 1]! + substitution,
				),
			);
		}

		above = current;
	}

	return above[right.length]!;
}
