/** The periods in which a node learns its target's calls and works out the pressure on routes. */
import type {Clock} from '@egretspoke/shared';
import {profilePeriod, type CallProfile} from './decisions/call-profile.js';
import {createPacedNews} from './paced-news.js';
import {pressureRefreshInterval, type RoutePressure} from './route-pressure.js';
import type {Ticker} from './ticker.js';

/** What the learning needs. */
export type ProfileUpdatesOptions = {
	clock: Clock;
	ticker: Ticker;
	/** Ends the learning. */
	signal: AbortSignal;
	profile: Pick<CallProfile, 'update'>;
	pressure: Pick<RoutePressure, 'refresh'>;
	/** Something was learnt. */
	onLearnt: () => void;
	/** Tells the others what was learnt. */
	announce: () => void;
};

/** Milliseconds between two announcements of profiles, at first and at most; they change most in the first seconds. */
const firstAnnouncementDelay = 900;
const maxAnnouncementInterval = 3000;

/** Creates the learning, which has not started. */
export function createProfileUpdates(options: ProfileUpdatesOptions): {
	start(): void;
} {
	const {clock, ticker, signal, profile, pressure} = options;
	const announcements = createPacedNews({
		clock,
		firstPause: firstAnnouncementDelay,
		longestPause: maxAnnouncementInterval,
		tell: options.announce,
	});
	signal.addEventListener('abort', () => {
		announcements.close();
	});
	return {
		start() {
			ticker.schedule(profilePeriod, () => {
				if (profile.update()) {
					options.onLearnt();
					announcements.note();
				}
			});
			ticker.schedule(pressureRefreshInterval, () => {
				pressure.refresh();
			});
		},
	};
}
