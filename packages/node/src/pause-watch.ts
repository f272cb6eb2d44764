/**
 * Estimates the age of data that was just read, from pauses of the process.
 *
 * A message states how much time its request has left, counted from its
 * sending. After a VM was frozen with requests in its sockets, it would run all
 * of them as if they had just been sent, although their callers have given up:
 * a booking appears after it was given up, and a burst of useless work follows
 * each pause. A late event loop does the same on a smaller scale.
 */
import type {Clock} from '@egretspoke/shared';

/** Detects pauses of the process. */
export type PauseWatch = {
	/**
	 * Upper bound in milliseconds on the age of data that is read now; 0 in
	 * normal operation. A pause or a late event loop makes a tick late, and data
	 * read since the previous tick may have waited for that long.
	 */
	maxMessageAge(): number;
};

/** Milliseconds between ticks; twenty wake-ups a second cost about 0.1% of a core. */
const tickInterval = 50;
/** Maximum gap in milliseconds that counts as a normal delay of timers. */
const maxNormalGap = 3 * tickInterval;

/** Starts the watch; it stops when the signal aborts. */
export function createPauseWatch(
	clock: Clock,
	signal: AbortSignal,
): PauseWatch {
	let lastTick = clock.now();
	/** After a pause a tick may fire before the sockets are read, so its gap counts until the next tick. */
	let lastGap = 0;

	const tick = () => {
		if (signal.aborted) {
			return;
		}

		lastGap = clock.now() - lastTick;
		lastTick = clock.now();
		clock.setTimer(tickInterval, tick);
	};

	clock.setTimer(tickInterval, tick);
	return {
		maxMessageAge() {
			const gap = Math.max(clock.now() - lastTick, lastGap);
			return gap > maxNormalGap ? gap : 0;
		},
	};
}
