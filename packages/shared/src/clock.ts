/**
 * Time as an interface, so that every decision and every wait can run on a
 * virtual clock. Durations are whole or fractional milliseconds; a wall time
 * is a standard `Date`.
 */

/** A timer that has been set and can be taken back. */
export type Timer = {
	/** Stops the timer; harmless when it has already fired. */
	cancel(): void;
};

/** The only source of time in this project. */
export type Clock = {
	/**
	 * Monotonic milliseconds since an arbitrary origin. It never goes back,
	 * and it advances while the process is frozen, so that a deadline is seen
	 * to have passed after a wake.
	 */
	now(): number;
	/** The wall time, for logs and for what leaves the process. */
	date(): Date;
	/** Calls back once after the delay in milliseconds. */
	setTimer(delay: number, callback: () => void): Timer;
};

/** The clock of the operating system. Its timers keep a process alive only when asked to. */
export function createSystemClock(options: {keepAlive?: boolean} = {}): Clock {
	return {
		now: () => performance.now(),
		date: () => new Date(),
		setTimer(delay, callback) {
			const handle = setTimeout(callback, delay);
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

/** Waits on the clock; resolves early, without an error, when the signal aborts. */
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
