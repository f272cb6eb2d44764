/**
 * Computes when a refused caller may retry.
 *
 * Load pattern: many callers are refused at once. With one fixed time they all
 * retry together, as a burst as large as the first, so that overload recurs
 * with the period of that time. The time here is when the waiting work ends,
 * plus a random part of the span in which the target can serve the requests
 * refused in the last window. The retries are thereby spread
 * over exactly the capacity they need.
 *
 * Bounds: at least one service time, since nothing changes sooner, and at most
 * half a minute, after which the state is worth another request in any case.
 */
import type {Random} from '@egretspoke/shared';

const maxTime = 30_000;
const minTime = 10;

/** What the time is derived from. */
export type BacklogState = {
	/** Requests that wait. */
	waiting: number;
	/** Requests refused in the last window and so far in this one. */
	refused: number;
	/** Requests that end per millisecond while all slots are taken. */
	drainRate: number;
	/** The average service time, in milliseconds. */
	serviceTime: number;
};

/** The retry-after time in milliseconds. */
export function retryAfterTime(
	{waiting, refused, drainRate, serviceTime}: BacklogState,
	random: Random,
): number {
	const minimum = Math.max(minTime, serviceTime);
	const backlog = drainRate > 0 ? waiting / drainRate : 0;
	const spread = drainRate > 0 ? (refused + 1) / drainRate : minimum;
	const time = Math.max(minimum, backlog) + random.fraction() * spread;
	return Math.round(Math.min(maxTime, time));
}
