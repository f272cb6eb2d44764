/** Coalesces changes that come faster than peers need them, with a growing pause between two announcements. */
import type {Clock, Timer} from '@egretspoke/shared';

/** How news are paced. */
export type PacedNewsOptions = {
	clock: Clock;
	/** Milliseconds between the first two announcements; doubled after each one, up to the longest. */
	firstPause: number;
	longestPause: number;
	/** Announces the current value. */
	tell: () => void;
};

/** The news. */
export type PacedNews = {
	/** Something has changed. */
	note(): void;
	close(): void;
};

/** Creates news of which nothing was told. */
export function createPacedNews(options: PacedNewsOptions): PacedNews {
	const {clock, longestPause, tell} = options;
	let pause = options.firstPause;
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
		note() {
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
