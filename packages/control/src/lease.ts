/**
 * Detects that the process itself was paused. The lease is the time for which
 * peers keep trusting a member without contact.
 *
 * Without it, a frozen node that its peers have marked gone would resume and
 * accept work with outdated members and keys, and requests would be served by a
 * node that status lists as gone. The pause is detected at the first read of the
 * clock after the resume, before any timer runs, because the last tick is too old.
 */
import {sleep, type Clock} from '@egretspoke/shared';

/** Detects process pauses longer than the lease. */
export type Lease = {
	/** True when the last tick is older than the lease. */
	hasExpired(): boolean;
	/** Ticks until the signal aborts; after an expiry, calls back with the duration of the pause in milliseconds. */
	run(signal: AbortSignal, onExpired: (pause: number) => void): Promise<void>;
};

/** Ticks per lease, so that an ordinary late timer does not expire it. */
const ticksPerLease = 6;

/** Creates a lease; the duration is in milliseconds. */
export function createLease(clock: Clock, duration: number): Lease {
	let lastTick = clock.now();
	const hasExpired = () => clock.now() - lastTick > duration;
	return {
		hasExpired,
		async run(signal, onExpired) {
			lastTick = clock.now();
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one tick after another.
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
