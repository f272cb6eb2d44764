/**
 * What a node does when members that were gone come back, as when the links
 * of a data centre are mended.
 *
 * What goes wrong without it: every returning member refutes its end, and the
 * refutations spread a few a message; at 96 nodes the data centres were not
 * whole again within 20 s. One notices requests refused in one data centre
 * while another has free targets. Asking once for all members, after the
 * refutations were made, costs one large message and settles it.
 *
 * It is for many returns only. A single member that was slow for a moment
 * would otherwise have every node ask for all members: at 570 nodes that took
 * 100 KB a second of the busiest one.
 */
import type {Member} from '@egretspoke/protocol';
import {sample, type Clock, type Random} from '@egretspoke/shared';
import {gossipLimits, type MembershipTiming} from './membership-timing.js';

/** Notes returns and acts on them. */
export type CatchUp = {
	/** A member came back. */
	recordRejoin(member: Member): void;
	/** To be called often; does what is due. */
	runDue(): Promise<void>;
};

/** Returns within a pause that don't fit into the news of one message. */
const maxRejoinsWithoutSync = gossipLimits.probe;

/** Creates the catch-up of one node. */
export function createCatchUp(options: {
	clock: Clock;
	random: Random;
	timing: MembershipTiming;
	present: () => Member[];
	/** When all members were last asked for. */
	lastFullSyncAt: () => number;
	join: (addresses: string[]) => Promise<unknown>;
	probeGoneMember: () => Promise<void>;
}): CatchUp {
	const {
		clock,
		random,
		timing,
		present,
		lastFullSyncAt,
		join,
		probeGoneMember,
	} = options;
	let firstRejoinAt = Number.NEGATIVE_INFINITY;
	let rejoined = new Map<string, Member>();

	const syncWithOneOf = async (members: Member[]) => {
		const dataCentres = new Set(members.map(({dataCentre}) => dataCentre));
		const candidates = present().filter(({dataCentre}) =>
			dataCentres.has(dataCentre),
		);
		const [chosen] = sample(candidates, 1, random);
		if (chosen) {
			await join([chosen.peerAddress]);
		}
	};

	const pause = () =>
		Math.max(
			timing.minRejoinSyncInterval,
			present().length * timing.minRejoinSyncIntervalPerMember,
		);

	return {
		recordRejoin(member) {
			if (rejoined.size === 0) {
				firstRejoinAt = clock.now();
			}

			rejoined.set(member.node, member);
		},
		async runDue() {
			if (rejoined.size === 0) {
				return;
			}

			const now = clock.now();
			const delay = timing.rejoinSyncDelay * (1 + random.fraction());
			const at = Math.max(firstRejoinAt + delay, lastFullSyncAt() + pause());
			if (rejoined.size > maxRejoinsWithoutSync && now >= at) {
				const returned = [...rejoined.values()];
				rejoined = new Map();
				await syncWithOneOf(returned);
				return;
			}

			if (now - firstRejoinAt > timing.minRejoinSyncInterval) {
				rejoined = new Map();
			}

			await probeGoneMember();
		},
	};
}
