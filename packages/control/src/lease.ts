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
	hasExpired(): boolean;
	/** Pulses until the signal aborts; when a lapse is over, calls back with its length in milliseconds. */
	run(signal: AbortSignal, onExpired: (pause: number) => void): Promise<void>;
};

/** Pulses within a lease, so that an ordinary late timer is no lapse. */
const ticksPerLease = 6;

/** Creates a lease of so many milliseconds. */
export function createLease(clock: Clock, duration: number): Lease {
	let lastTick = clock.now();
	const hasExpired = () => clock.now() - lastTick > duration;
	return {
		hasExpired,
		async run(signal, onExpired) {
			lastTick = clock.now();
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one pulse after another.
				await sleep(clock, duration / ticksPerLease, signal);
				const pause = clock.now() - lastTick;
				const isExpired = hasExpired() && !signal.aborted;
				lastTick = clock.now();
				if (isExpired) {
					onExpired(pause);
				}
			}
		},
	};
}
