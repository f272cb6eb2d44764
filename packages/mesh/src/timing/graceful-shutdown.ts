/** Determines how long a stopping node keeps running. */
import type {Clock} from '@egretspoke/shared';

/**
 * Minimum time that a stopping node keeps running, in milliseconds: callers' load
 * balancers check every second and remove a node after two failed checks.
 */
const minStopDuration = 2500;
/** Milliseconds before the end of the grace period at which remaining requests are cut off. */
const stopReserve = 500;
/** Interval between checks for requests in flight, in milliseconds. */
const idleCheckInterval = 50;

/**
 * Resolves when nothing is in flight any more, or shortly before the end of the
 * grace period.
 *
 * @param grace - Milliseconds from now until the process is killed.
 * @param checkIdle - Whether nothing is in flight; called in each period.
 */
export async function waitUntilIdle(
	clock: Clock,
	grace: number,
	checkIdle: () => boolean,
): Promise<void> {
	const since = clock.now();
	await new Promise<void>((resolve) => {
		const check = () => {
			const time = clock.now() - since;
			const isIdle = checkIdle();
			if ((isIdle && time >= minStopDuration) || time >= grace - stopReserve) {
				resolve();
			} else {
				clock.setTimer(idleCheckInterval, check);
			}
		};

		check();
	});
}
