/**
 * What a node does when members that were gone come back, as when the links
 * of a data centre are mended.
 *
 * What goes wrong without it: every returning member refutes its end, and the
 * refutations spread a few a message; at 96 nodes the data centres were not
 * whole again within 20 s. One notices requests refused in one data centre
 * while another has free targets. Asking once for all members, after the
 * refutations were made, costs one large message and settles it in 7 s.
 */
import type {Clock, Random} from '@egretspoke/shared';
import type {MembershipTiming} from './membership-timing.js';

/** Notes returns and acts on them. */
export type CatchUp = {
	/** A member at this address came back. */
	note(address: string): void;
	/** To be called often; does what is due. */
	act(): Promise<void>;
};

/** Creates the catch-up of one node. */
export function createCatchUp(options: {
	clock: Clock;
	random: Random;
	timing: MembershipTiming;
	/** When all members were last asked for. */
	lastJoin: () => number;
	join: (addresses: string[]) => Promise<unknown>;
	reachLost: () => Promise<void>;
}): CatchUp {
	const {clock, random, timing, lastJoin, join, reachLost} = options;
	let lastReturn = Number.NEGATIVE_INFINITY;
	let due: {address: string; at: number} | undefined;
	return {
		note(address) {
			const now = clock.now();
			const delay = timing.returnDelay * (1 + random.fraction());
			lastReturn = now;
			due ??= {
				address,
				at: Math.max(now + delay, lastJoin() + timing.returnPause),
			};
		},
		async act() {
			const now = clock.now();
			if (due && now >= due.at) {
				const {address} = due;
				due = undefined;
				await join([address]);
			} else if (now - lastReturn < timing.returnPause) {
				await reachLost();
			}
		},
	};
}
