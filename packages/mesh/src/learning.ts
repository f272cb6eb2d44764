/** The periods in which a node learns its target's calls and works out the pressure on routes. */
import type {Clock} from '@egretspoke/shared';
import {profilePeriod, type CallProfile} from './decisions/call-profile.js';
import {pressurePeriod, type RoutePressure} from './route-pressure.js';

/** What the learning needs. */
export type LearningOptions = {
	clock: Clock;
	/** Ends the learning. */
	signal: AbortSignal;
	profile: Pick<CallProfile, 'update'>;
	pressure: Pick<RoutePressure, 'refresh'>;
	/** The others have to know what was learnt. */
	onNews: () => void;
};

/** Creates the learning, which has not started. */
export function createLearning(options: LearningOptions): {start(): void} {
	const {clock, signal, profile, pressure} = options;
	const repeat = (period: number, act: () => void) => {
		clock.setTimer(period, () => {
			if (!signal.aborted) {
				act();
				repeat(period, act);
			}
		});
	};

	return {
		start() {
			repeat(profilePeriod, () => {
				if (profile.update()) {
					options.onNews();
				}
			});
			repeat(pressurePeriod, () => {
				pressure.refresh();
			});
		},
	};
}
