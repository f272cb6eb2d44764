/** Selects the members that this node links to, per service, by demand, occupancy and reachability. */
import type {Clock} from '@egretspoke/shared';
import {createNameRank} from '../decisions/routing/name-rank.js';
import {
	chooseSubset,
	createAdaptiveSize,
	rankMembers,
	type AdaptiveSize,
	type SubsetMember,
	type SubsetSize,
} from '../decisions/routing/peer-subset.js';
import {nearOccupancyThreshold} from '../decisions/routing/target-selection.js';
import {
	estimateOccupancy,
	isExpectedToServe,
	usableTarget,
	type Peer,
} from '../links/peer.js';
import type {Member} from '../links/peer-message.js';
import type {KnownMembers} from './known-members.js';

/** Options of `createDesiredLinks`. */
export type DesiredLinksOptions = {
	clock: Clock;
	self: Pick<Member, 'node' | 'dataCentre'>;
	known: KnownMembers;
	/** Linked nodes, by name. */
	peers: ReadonlyMap<string, Peer>;
	/** Members to link to regardless of their service. */
	pinned: () => Iterable<string>;
};

/** Selects the members to link to. */
export type DesiredLinks = {
	/** Records a request for the service; returns true if the links should be chosen again at once. */
	recordRequest(service: string): boolean;
	/** Records that the member is alive, so that it counts as reachable. */
	recordAlive(node: string): void;
	/** Returns the names of the members to link to; called at a fixed interval. */
	choose(): Set<string>;
};

/** Milliseconds without a link after which a member counts as unreachable. */
const unreachableTimeout = 5000;
/** Milliseconds after which an unreachable member is eligible again. */
const retryInterval = 15_000;
/** Milliseconds after a request during which its service counts as in demand. */
const demandTimeout = 60_000;

type ServiceSubset = {
	size: AdaptiveSize;
	lastRequestAt: number;
	ranked: SubsetMember[];
	/** Revision of members and reachability that `ranked` was computed from. */
	revision: number;
};

/** Creates a selection without recorded requests. */
export function createDesiredLinks({
	clock,
	self,
	known,
	peers,
	pinned,
}: DesiredLinksOptions): DesiredLinks {
	const rankOf = createNameRank(self.node);
	const subsets = new Map<string, ServiceSubset>();
	/** Time at which each unreachable node was detected, by node name. */
	const unreachable = new Map<string, number>();
	/** Incremented when a node becomes reachable or unreachable. */
	let reachabilityRevision = 0;

	const subsetOf = (service: string): ServiceSubset => {
		let subset = subsets.get(service);
		if (!subset) {
			subset = {
				size: createAdaptiveSize(),
				lastRequestAt: Number.NEGATIVE_INFINITY,
				ranked: [],
				revision: -1,
			};
			subsets.set(service, subset);
		}

		return subset;
	};

	const isNear = ({dataCentre}: Pick<Member, 'dataCentre'>) =>
		dataCentre === self.dataCentre;

	const rank = (service: string): SubsetMember[] => {
		const subset = subsetOf(service);
		const revision = known.revision() + reachabilityRevision;
		if (subset.revision !== revision) {
			subset.revision = revision;
			subset.ranked = rankMembers(
				rankOf,
				known.of(service).map((member) => ({
					node: member.node,
					isNear: isNear(member),
					isUnreachable: unreachable.has(member.node),
				})),
			);
		}

		return subset.ranked;
	};

	const sizeOf = (service: string, now: number): SubsetSize => {
		const {size, lastRequestAt} = subsetOf(service);
		let isNearFull = true;
		let isFull = true;
		for (const peer of peers.values()) {
			const target = usableTarget(peer, service);
			if (
				target &&
				estimateOccupancy(peer, target.slots, now) < nearOccupancyThreshold
			) {
				isFull = false;
				isNearFull &&= !isNear(peer.member);
			}
		}

		return size.update({
			isRequested: now - lastRequestAt < demandTimeout,
			isNearFull,
			isFull,
		});
	};

	const updateReachability = (now: number) => {
		for (const [node, since] of unreachable) {
			if (now - since >= retryInterval) {
				unreachable.delete(node);
				reachabilityRevision++;
			}
		}

		for (const [node, {downSince}] of peers) {
			const isLost =
				downSince !== undefined && now - downSince >= unreachableTimeout;
			if (isLost && !unreachable.has(node)) {
				unreachable.set(node, now);
				reachabilityRevision++;
			}
		}
	};

	return {
		recordRequest(service) {
			const now = clock.now();
			const subset = subsetOf(service);
			const isFirst = now - subset.lastRequestAt >= demandTimeout;
			subset.lastRequestAt = now;
			return isFirst;
		},
		recordAlive(node) {
			reachabilityRevision += unreachable.delete(node) ? 1 : 0;
		},
		choose() {
			const now = clock.now();
			updateReachability(now);
			const desired = new Set<string>(pinned());
			for (const service of known.services()) {
				const chosen = chooseSubset(
					rank(service),
					sizeOf(service, now),
					({node}) => {
						const peer = peers.get(node);
						return !peer || isExpectedToServe(peer, service, now);
					},
				);
				for (const {node} of chosen) {
					desired.add(node);
				}
			}

			return desired;
		},
	};
}
