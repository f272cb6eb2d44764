/**
 * Resynchronizes membership when many gone members rejoin, as after a partition
 * between data centres heals. Otherwise every rejoining member refutes its own
 * end, and the refutations spread a few per message: at 96 nodes, views had not
 * converged after 20 s, and one data centre refused requests while another had
 * free targets. One request for all members after the refutations costs one large
 * message instead.
 */
import type {Member} from '@egretspoke/protocol';
import {sample, type Clock, type Random} from '@egretspoke/shared';
import {gossipLimits, type MembershipTiming} from './membership-timing.js';

/** Tracks rejoins and resynchronizes after many of them. */
export type CatchUp = {
	/** Records that a gone member has rejoined. */
	recordRejoin(member: Member): void;
	/** Syncs if it is due, else probes a gone member while rejoins are recent; to be called often. */
	runDue(): Promise<void>;
};

/**
 * More rejoins than fit into one message trigger a full sync. Fewer do not, because
 * a single member that was slow for a moment would make every node request all
 * members: at 570 nodes that took 100 KB a second of the busiest one.
 */
const maxRejoinsWithoutSync = gossipLimits.probe;

/** Creates the catch-up of one node. */
export function createCatchUp(options: {
	clock: Clock;
	random: Random;
	timing: MembershipTiming;
	present: () => Member[];
	/** When all members were last requested, in milliseconds of the clock. */
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
