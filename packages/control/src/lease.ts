/**
 * Notices that the process itself was paused. The lease is the time for which
 * peers keep trusting a member that they don't hear.
 *
 * What goes wrong without it: a node is frozen, its peers give it up, it wakes
 * and goes on taking work as if nothing had happened, with a view of members
 * and keys from before. One notices requests served by a node that status
 * calls gone. Here the pause shows at the first look at the clock after the
 * wake, before any timer has run, since the last pulse is too old.
 */
import {sleep, type Clock} from '@egretspoke/shared';

/** Tells pauses from ordinary running. */
export type Lease = {
	/** True when the last pulse is older than the lease. */
	hasLapsed(): boolean;
	/** Pulses until the signal aborts; when a lapse is over, calls back with its length in milliseconds. */
	run(signal: AbortSignal, onLapse: (pause: number) => void): Promise<void>;
};

/** Pulses within a lease, so that an ordinary late timer is no lapse. */
const pulses = 6;

/** Creates a lease of so many milliseconds. */
export function createLease(clock: Clock, duration: number): Lease {
	let lastPulse = clock.now();
	const hasLapsed = () => clock.now() - lastPulse > duration;
	return {
		hasLapsed,
		async run(signal, onLapse) {
			lastPulse = clock.now();
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one pulse after another.
				await sleep(clock, duration / pulses, signal);
				const pause = clock.now() - lastPulse;
				const isLapse = hasLapsed() && !signal.aborted;
				lastPulse = clock.now();
				if (isLapse) {
					onLapse(pause);
				}
			}
		},
	};
}
