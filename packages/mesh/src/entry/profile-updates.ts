/** Updates the call profile of the target and the route pressure periodically, and announces changed profiles. */
import type {Clock} from '@egretspoke/shared';
import {
	profilePeriod,
	type CallProfile,
} from '../decisions/admission/call-profile.js';
import {createThrottledUpdates} from '../timing/throttled-updates.js';
import type {Ticker} from '../timing/ticker.js';
import {pressureRefreshInterval, type RoutePressure} from './route-pressure.js';

/** Dependencies of the updates. */
export type ProfileUpdatesOptions = {
	clock: Clock;
	ticker: Ticker;
	/** Stops the announcements. */
	signal: AbortSignal;
	profile: Pick<CallProfile, 'update'>;
	pressure: Pick<RoutePressure, 'refresh'>;
	/** The profile changed. */
	onProfileChange: () => void;
	/** Sends the profile to the other nodes. */
	announce: () => void;
};

/** Initial and maximum interval between announcements, in milliseconds; profiles change most in the first seconds. */
const firstAnnouncementDelay = 900;
const maxAnnouncementInterval = 3000;

/** Creates the updates, not started yet. */
export function createProfileUpdates(options: ProfileUpdatesOptions): {
	start(): void;
} {
	const {clock, ticker, signal, profile, pressure} = options;
	const announcements = createThrottledUpdates({
		clock,
		initialInterval: firstAnnouncementDelay,
		maxInterval: maxAnnouncementInterval,
		send: options.announce,
	});
	signal.addEventListener('abort', () => {
		announcements.close();
	});
	return {
		start() {
			ticker.schedule(profilePeriod, () => {
				if (profile.update()) {
					options.onProfileChange();
					announcements.schedule();
				}
			});
			ticker.schedule(pressureRefreshInterval, () => {
				pressure.refresh();
			});
		},
	};
}
