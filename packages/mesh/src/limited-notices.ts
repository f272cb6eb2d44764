/** Limits the lines of the log about what others send, who could repeat it without end. */
import type {Clock} from '@egretspoke/shared';

/** Milliseconds in which so many lines are written. */
const period = 10_000;
const linesPerPeriod = 10;

/** Returns a function that calls `report`, unless it was called too often in this period. */
export function createLimitedNotices<Details extends unknown[]>(
	clock: Pick<Clock, 'now'>,
	report: (...details: Details) => void,
): (...details: Details) => void {
	let startedAt = Number.NEGATIVE_INFINITY;
	let lines = 0;
	return (...details) => {
		const now = clock.now();
		if (now - startedAt >= period) {
			startedAt = now;
			lines = 0;
		}

		lines++;
		if (lines <= linesPerPeriod) {
			report(...details);
		}
	};
}
