/** Returns the median cost of a decision in nanoseconds, from the durations of batches in milliseconds. */
export function computeMedianCost(
	milliseconds: number[],
	decisions: number,
): number {
	const sorted = milliseconds.toSorted((left, right) => left - right);
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
	return Math.round((median * 1e6) / decisions);
}
