/** Coalesces changes that are more frequent than peers need, with a growing interval between two updates. */
import type {Clock, Timer} from '@egretspoke/shared';

/** Options of `createThrottledUpdates`. */
export type ThrottledUpdatesOptions = {
	clock: Clock;
	/** Milliseconds between the first two updates; doubled after each one, up to the maximum. */
	initialInterval: number;
	maxInterval: number;
	/** Sends the current value. */
	send: () => void;
};

/** Throttled updates of one value. */
export type ThrottledUpdates = {
	/** Schedules an update after a change; sends it at once if the interval is over. */
	schedule(): void;
	close(): void;
};

/** Creates updates of which none has been sent. */
export function createThrottledUpdates(
	options: ThrottledUpdatesOptions,
): ThrottledUpdates {
	const {clock, maxInterval, send} = options;
	let pause = options.initialInterval;
	let hasChanged = false;
	let timer: Timer | undefined;

	const sendNow = () => {
		hasChanged = false;
		timer = clock.setTimer(pause, () => {
			timer = undefined;
			if (hasChanged) {
				sendNow();
			}
		});
		pause = Math.min(maxInterval, pause * 2);
		send();
	};

	return {
		schedule() {
			hasChanged = true;
			if (!timer) {
				sendNow();
			}
		},
		close() {
			timer?.cancel();
		},
	};
}
