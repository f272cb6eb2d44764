/** Coalesces changes that come faster than peers need them, with a growing pause between two announcements. */
import type {Clock, Timer} from '@egretspoke/shared';

/** How news are paced. */
export type ThrottledUpdatesOptions = {
	clock: Clock;
	/** Milliseconds between the first two announcements; doubled after each one, up to the longest. */
	initialInterval: number;
	maxInterval: number;
	/** Announces the current value. */
	send: () => void;
};

/** The news. */
export type ThrottledUpdates = {
	/** Something has changed. */
	schedule(): void;
	close(): void;
};

/** Creates news of which nothing was told. */
export function createThrottledUpdates(
	options: ThrottledUpdatesOptions,
): ThrottledUpdates {
	const {clock, maxInterval: longestPause, send: tell} = options;
	let pause = options.initialInterval;
	let hasChanged = false;
	let timer: Timer | undefined;

	const tellNow = () => {
		hasChanged = false;
		timer = clock.setTimer(pause, () => {
			timer = undefined;
			if (hasChanged) {
				tellNow();
			}
		});
		pause = Math.min(longestPause, pause * 2);
		tell();
	};

	return {
		schedule() {
			hasChanged = true;
			if (!timer) {
				tellNow();
			}
		},
		close() {
			timer?.cancel();
		},
	};
}
