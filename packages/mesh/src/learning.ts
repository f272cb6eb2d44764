/** The periods in which a node learns its target's calls and works out the pressure on routes. */
import type {Clock} from '@egretspoke/shared';
import {profilePeriod, type CallProfile} from './decisions/call-profile.js';
import {createThrottledUpdates} from './throttled-updates.js';
import {pressurePeriod, type RoutePressure} from './route-pressure.js';
import type {Ticker} from './ticker.js';

/** What the learning needs. */
export type LearningOptions = {
	clock: Clock;
	ticker: Ticker;
	/** Ends the learning. */
	signal: AbortSignal;
	profile: Pick<CallProfile, 'update'>;
	pressure: Pick<RoutePressure, 'refresh'>;
	/** Something was learnt. */
	onLearnt: () => void;
	/** Tells the others what was learnt. */
	tell: () => void;
};

/** Milliseconds between two announcements of profiles, at first and at most; they change most in the first seconds. */
const firstNewsPause = 900;
const longestNewsPause = 3000;

/** Creates the learning, which has not started. */
export function createLearning(options: LearningOptions): {start(): void} {
	const {clock, ticker, signal, profile, pressure} = options;
	const news = createThrottledUpdates({
		clock,
		initialInterval: firstNewsPause,
		maxInterval: longestNewsPause,
		send: options.tell,
	});
	signal.addEventListener('abort', () => {
		news.close();
	});
	return {
		start() {
			ticker.schedule(profilePeriod, () => {
				if (profile.update()) {
					options.onLearnt();
					news.schedule();
				}
			});
			ticker.schedule(pressurePeriod, () => {
				pressure.refresh();
			});
		},
	};
}
