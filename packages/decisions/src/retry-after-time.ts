/**
 * When a refused caller should come back.
 *
 * Load pattern: many callers are refused at once. With one fixed time they all
 * come back together, as large a burst as the first; one notices a sawtooth of
 * overload with the period of that time. The time here is where the work that
 * is ahead ends, plus a random part of the span in which the target can serve
 * what it refused in the last window, so that the refused spread themselves
 * over exactly the capacity they need.
 *
 * Bounds: at least one service time, since nothing changes sooner, and at most
 * half a minute, after which the state is worth asking about anyway.
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
	/** Requests that end per millisecond when all slots are taken. */
	drainRate: number;
	/** The average service time, in milliseconds. */
	serviceTime: number;
};

/** Milliseconds after which to come back. */
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
