/** Which members this node wants links to, service by service, as its links fare. */
import type {Clock} from '@egretspoke/shared';
import {createNameRank} from './decisions/name-rank.js';
import {
	chooseSubset,
	createAdaptiveSize,
	rankMembers,
	type AdaptiveSize,
	type SubsetMember,
	type SubsetSize,
} from './decisions/peer-subset.js';
import {nearOccupancyThreshold} from './decisions/target-selection.js';
import type {KnownMembers} from './known-members.js';
import {
	estimateOccupancy,
	isExpectedToWork,
	usableTarget,
	type Peer,
} from './peer.js';
import type {Member} from './peer-message.js';

/** What the choice needs. */
export type WantedMembersOptions = {
	clock: Clock;
	self: Pick<Member, 'node' | 'dataCentre'>;
	known: KnownMembers;
	/** Linked nodes, by name. */
	peers: ReadonlyMap<string, Peer>;
	/** Members that are wanted whatever their service. */
	pinned: () => Iterable<string>;
};

/** The choice. */
export type WantedMembers = {
	/** Takes note of a request for the service; true when the subset has to be looked at now. */
	noteAsked(service: string): boolean;
	/** The member gave a sign of life. */
	noteAlive(node: string): void;
	/** The names of the members to link to; to be called in each period. */
	choose(): Set<string>;
};

/** Milliseconds without a link after which a member counts as unreachable. */
const unreachableTime = 5000;
/** Milliseconds after which an unreachable member is tried like the others again. */
const retryTime = 15_000;
/** Milliseconds for which a service counts as asked for after a request. */
const askedTime = 60_000;

type ServiceSubset = {
	size: AdaptiveSize;
	askedAt: number;
	ranked: SubsetMember[];
	/** The revision of members and reachability that was ranked. */
	revision: number;
};

/** Creates the choice of a node that nobody has asked yet. */
export function createWantedMembers({
	clock,
	self,
	known,
	peers,
	pinned,
}: WantedMembersOptions): WantedMembers {
	const rankOf = createNameRank(self.node);
	const subsets = new Map<string, ServiceSubset>();
	/** By node, the instant at which it was found unreachable. */
	const unreachable = new Map<string, number>();
	/** Grows with each change of who is reachable. */
	let reachability = 0;

	const subsetOf = (service: string): ServiceSubset => {
		let subset = subsets.get(service);
		if (!subset) {
			subset = {
				size: createAdaptiveSize(),
				askedAt: Number.NEGATIVE_INFINITY,
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
		const revision = known.revision() + reachability;
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
		const {size, askedAt} = subsetOf(service);
		let isNearFull = true;
		let isFull = true;
		for (const peer of peers.values()) {
			const target = usableTarget(peer, service);
			if (
				target &&
				estimateOccupancy(peer, target.slots) < nearOccupancyThreshold
			) {
				isFull = false;
				isNearFull &&= !isNear(peer.member);
			}
		}

		return size.update({
			isRequested: now - askedAt < askedTime,
			isNearFull,
			isFull,
		});
	};

	const noteReachability = (now: number) => {
		for (const [node, since] of unreachable) {
			if (now - since >= retryTime) {
				unreachable.delete(node);
				reachability++;
			}
		}

		for (const [node, {downSince}] of peers) {
			const isLost =
				downSince !== undefined && now - downSince >= unreachableTime;
			if (isLost && !unreachable.has(node)) {
				unreachable.set(node, now);
				reachability++;
			}
		}
	};

	return {
		noteAsked(service) {
			const now = clock.now();
			const subset = subsetOf(service);
			const isFirst = now - subset.askedAt >= askedTime;
			subset.askedAt = now;
			return isFirst;
		},
		noteAlive(node) {
			reachability += unreachable.delete(node) ? 1 : 0;
		},
		choose() {
			const now = clock.now();
			noteReachability(now);
			const wanted = new Set<string>(pinned());
			for (const service of known.services()) {
				const chosen = chooseSubset(
					rank(service),
					sizeOf(service, now),
					({node}) => {
						const peer = peers.get(node);
						return !peer || isExpectedToWork(peer, service, now);
					},
				);
				for (const {node} of chosen) {
					wanted.add(node);
				}
			}

			return wanted;
		},
	};
}
