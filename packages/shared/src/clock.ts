/**
 * An abstraction of time, so that all decisions and waits can run on a virtual
 * clock. Durations are whole or fractional milliseconds; wall-clock time is a
 * standard `Date`.
 */

/** A scheduled timer. */
export type Timer = {
	/** Cancels the timer; does nothing when it has already fired. */
	cancel(): void;
};

/** The only source of time in this project. */
export type Clock = {
	/**
	 * Monotonic milliseconds since an arbitrary origin. The value never
	 * decreases, and it advances while the process is suspended, so that
	 * deadlines that passed meanwhile are detected on resume.
	 */
	now(): number;
	/** The wall-clock time, for logs and for data that leaves the process. */
	date(): Date;
	/** Calls the callback once after the delay in milliseconds; the clock of the system after 24 days at most. */
	setTimer(delay: number, callback: () => void): Timer;
};

/** Node fires a timer with a greater delay after 1 ms, and a task that waits would spin. */
const maxDelay = 2 ** 31 - 1;

/** Creates a clock on the time of the operating system. Its timers keep the process alive only with `keepAlive`. */
export function createSystemClock(options: {keepAlive?: boolean} = {}): Clock {
	return {
		now: () => performance.now(),
		date: () => new Date(),
		setTimer(delay, callback) {
			const handle = setTimeout(callback, Math.min(delay, maxDelay));
			if (!options.keepAlive) {
				handle.unref();
			}

			return {
				cancel() {
					clearTimeout(handle);
				},
			};
		},
	};
}

/** Resolves after the delay in milliseconds, or early, without an error, when the signal aborts. */
export async function sleep(
	clock: Clock,
	delay: number,
	signal?: AbortSignal,
): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>((resolve) => {
		const finish = () => {
			timer.cancel();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.setTimer(delay, finish);
		signal?.addEventListener('abort', finish);
	});
}
