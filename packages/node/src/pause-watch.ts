/**
 * How old what has just been read may be.
 *
 * A message says how much time its request has left, counted from its sending.
 * What goes wrong without this: a VM is frozen with requests in its sockets,
 * their callers give up, and it wakes and runs every one of them as if it had
 * just been sent. One notices a booking that appears after it was given up,
 * and a burst of useless work after each pause. The same happens, smaller, when
 * the event loop is late. A tick that comes late shows both; what was read
 * since the tick before it may have waited for as long as that.
 */
import type {Clock} from '@egretspoke/shared';

/** Watches for pauses of the process. */
export type PauseWatch = {
	/** Milliseconds for which what is read now may have waited; 0 in ordinary running. */
	maxMessageAge(): number;
};

/** Milliseconds between ticks: twenty wake-ups a second are some 0.1% of a core. */
const tickInterval = 50;
/** A gap up to this is an ordinary delay of timers. */
const maxNormalGap = 3 * tickInterval;

/** Starts the watch; it ends with the signal. */
export function createPauseWatch(
	clock: Clock,
	signal: AbortSignal,
): PauseWatch {
	let lastTick = clock.now();
	/** After a wake a tick may come before the sockets are read, so its gap counts until the next. */
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
