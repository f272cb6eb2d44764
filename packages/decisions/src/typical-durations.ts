/**
 * The typical duration of each operation over all targets of a service.
 *
 * It is a running median: each sample moves it up or down by a fixed step, so
 * that the long durations of one slow target weigh no more than the same
 * number of ordinary ones, and that target stands out.
 */
import {findOrAdd} from './bounded-table.js';

const operationLimit = 256;
/** Fifteen samples on one side move the median by a factor of two. */
const step = 1.05;

/** The medians by operation, in milliseconds. */
export type TypicalDurations = Map<string, {median: number}>;

/** The typical duration; 0 when it is unknown. */
export function typicalOf(
	durations: TypicalDurations,
	operation: string,
): number {
	return durations.get(operation)?.median ?? 0;
}

/** Updates the median with the duration of an answered request. */
export function updateTypical(
	durations: TypicalDurations,
	operation: string,
	duration: number,
): void {
	const value = Math.max(duration, 0.01);
	const entry = findOrAdd(durations, operation, operationLimit, () => ({
		median: value,
	}));
	entry.median *= value > entry.median ? step : 1 / step;
}
