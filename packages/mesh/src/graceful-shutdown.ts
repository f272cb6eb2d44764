/** How long a node that was told to stop goes on. */
import type {Clock} from '@egretspoke/shared';

/**
 * Milliseconds that a stopping node goes on at least: callers' balancers ask
 * every second and take a node out after two misses.
 */
const minStopDuration = 2500;
/** Milliseconds before the end of the grace at which what is left is cut. */
const stopReserve = 500;
/** Milliseconds between two looks at what is still in flight. */
const idleCheckInterval = 50;

/**
 * Resolves when nothing is in flight any more, or shortly before the grace is
 * over.
 *
 * @param grace - Milliseconds from now until the process is killed.
 * @param look - Whether nothing is in flight; asked in each period.
 */
export async function waitUntilIdle(
	clock: Clock,
	grace: number,
	checkIdle: () => boolean,
): Promise<void> {
	const beganAt = clock.now();
	await new Promise<void>((resolve) => {
		const check = () => {
			const elapsed = clock.now() - beganAt;
			const isIdle = checkIdle();
			if (
				(isIdle && elapsed >= minStopDuration) ||
				elapsed >= grace - stopReserve
			) {
				resolve();
			} else {
				clock.setTimer(idleCheckInterval, check);
			}
		};

		check();
	});
}
