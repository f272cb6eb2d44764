/**
 * The directory of remote targets: maintains links to other nodes, handles the
 * messages received over them, and lists the targets they lead to.
 *
 * Links are opened on demand and limited to a bounded subset of each service
 * (`peer-subset.ts`), so that their number doesn't grow with the fleet.
 */
import type {Clock, Random} from '@egretspoke/shared';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import type {FeedPeer} from '../decisions/routing/feed-followers.js';
import {
	levelOfService,
	type TargetLevel,
} from '../decisions/admission/service-level.js';
import {isInFuture} from '../field-schemas.js';
import {isRateLimited, type TargetLoad} from '../links/exchange.js';
import {
	applyLoad,
	listTargets,
	type LinkedTarget,
	type Peer,
	type TargetCandidate,
} from '../links/peer.js';
import type {
	Member,
	PeerMessage,
	ProfilesMessage,
	StateMessage,
} from '../links/peer-message.js';
import {probeInterval, type LinkLoss} from '../links/peer-link.js';
import {createPeerLinks} from '../links/peer-links.js';
import type {UpdateHandler} from '../links/peer-updates.js';
import {createTargetMemory} from '../target/target-memory.js';
import type {Ticker} from '../timing/ticker.js';
import {createMemberGossip} from './member-gossip.js';
import {createKnownMembers, isDisplaced} from './known-members.js';
import {createOwnEntry} from './own-entry.js';
import {createDesiredLinks} from './desired-links.js';
import {createServiceCandidates} from './service-candidates.js';

export type {TargetCandidate} from '../links/peer.js';

/** Dependencies of a directory. */
export type DirectoryOptions = {
	clock: Clock;
	random: Random;
	budget: MemoryBudget;
	ticker: Ticker;
	self: Member;
	hello: () => PeerMessage[];
	onMessage: UpdateHandler;
	onMalformed: (detail: string) => void;
	/** A connection is closed because its peer does not read; receives the unread bytes. */
	onUnread: (bytes: number) => void;
	/** A node reported its state. */
	onState: (state: StateMessage) => void;
	/** A node reported the call profiles of its target. */
	onProfiles: (node: string, message: ProfilesMessage) => void;
	onPeer: (node: string, change: 'up' | 'down') => void;
	/** Requests ended with their connection to the node. */
	onLost: (node: string, loss: LinkLoss) => void;
	/** This node has claimed its name with a later start, because another entry with it had displaced this node. */
	onDisplaced?: () => void;
	/** Members that need a link regardless of their service. */
	pinned: () => Iterable<string>;
};

/** The source of a member record; records from peers are gossiped further. */
export type MemberSource = 'store' | 'peer';

/** The links to other nodes and the remote targets. */
export type Directory = {
	/** Adds members; links are opened to those selected by the subsets. */
	addMembers(members: Member[], source: MemberSource): void;
	/**
	 * Records a member that sent a hello: it is alive, even if it was considered
	 * gone. Returns the later start at another place that it is known with, if any.
	 */
	recordHello(member: Member): Member | undefined;
	/** Remote targets of the service that are available and not yet tried; the list is valid until the next call. */
	candidates(service: string, tried: readonly string[]): TargetCandidate[];
	/** The shed level of each service with linked targets, and of the own one; see `service-level.ts`. */
	shedLevels(ownLoad: TargetLoad): Map<string, number>;
	/** The linked targets of all services. */
	targets(): LinkedTarget[];
	/** The number of known members of the service, except this node. */
	membersOf(service: string): number;
	/** The nodes with usable links, and whether each follows the feed and is alive. */
	feedPeers(): FeedPeer[];
	/** All known members except this node. */
	members(): Member[];
	/** Whether the link to the node is usable. */
	isLinked(node: string): boolean;
	/** Sends a message to a linked node. */
	send(node: string, message: PeerMessage): void;
	/** Sends a message to a random linked node. */
	sendToRandomPeer(message: PeerMessage): void;
	/** Number of known nodes, including this one. */
	size(): number;
	/** Number of nodes with usable links. */
	connected(): number;
	/** The nodes with usable links. */
	linked(): Array<Pick<Peer, 'member' | 'link'>>;
	/** Sends a message to every linked node. */
	broadcast(message: PeerMessage): void;
	close(): void;
};

/**
 * Milliseconds without a message after which a follower of the feed is not relied
 * on: it may be suspended. Followers send at least one each `followerQuietTime`.
 */
export const followerSilenceTimeout = 1000;
/** Milliseconds without a message to a linked node after which a follower of the feed sends its version. */
export const followerQuietTime = 600;

/** Interval at which the subsets are recomputed, in milliseconds. */
const subsetRefreshInterval = 600;

/** Creates a directory without members. */
export function createDirectory(options: DirectoryOptions): Directory {
	const {clock, random, self, ticker} = options;
	const known = createKnownMembers(self.node);
	const links = createPeerLinks({
		clock,
		budget: options.budget,
		random,
		hello: options.hello,
		onMessage(peer, message) {
			const handle = handlers[message.kind] ?? deliverMessage;
			handle(peer, message as never);
		},
		onMalformed: options.onMalformed,
		onUnread: options.onUnread,
		onPeer: options.onPeer,
		onLost: options.onLost,
	});
	const {peers} = links;
	const desiredLinks = createDesiredLinks({
		clock,
		self,
		known,
		peers,
		pinned: options.pinned,
	});
	const targetMemory = createTargetMemory();
	const memberGossip = createMemberGossip({
		clock,
		random,
		self,
		links: links.usable,
	});

	const ownEntry = createOwnEntry({
		clock,
		self,
		publish() {
			memberGossip.add({...self});
			options.onDisplaced?.();
		},
	});

	/** The start of a live node counts even if its clock is ahead of all others. */
	const withPlausibleStart = (member: Member): Member => {
		const now = clock.date();
		return isInFuture(member.startedAt, now)
			? {...member, startedAt: now.getTime()}
			: member;
	};

	/** The address may have been reassigned to another node, which then answers on it. */
	const checkIdentity = (peer: Peer, found: Member): boolean => {
		const isExpected = found.node === peer.member.node;
		if (!isExpected) {
			known.remove(peer.member.node);
			links.drop(peer);
			candidates.invalidate();
			addMembers([withPlausibleStart(found)], 'peer');
		}

		return isExpected;
	};

	const reportMemory = (peer: Peer, {target, load}: StateMessage) => {
		const unknown =
			target && targetMemory.compare(peer.member.node, target, load.rate);
		if (unknown) {
			peer.link.sendMessage(unknown);
		}
	};

	const recordLoad = (peer: Peer, load: TargetLoad | undefined) => {
		applyLoad(peer, load, clock.now());
		const target = peer.state?.target;
		if (target) {
			targetMemory.recordRate(peer.member.node, target, load?.rate);
		}
	};

	const candidates = createServiceCandidates(peers, {
		dataCentre: self.dataCentre,
		clock,
		onLoad: recordLoad,
	});

	/** Handlers of messages about the peer itself; all other messages may arrive on either side of a link. */
	const handlers: {
		[Kind in PeerMessage['kind']]?: (
			peer: Peer,
			message: Extract<PeerMessage, {kind: Kind}>,
		) => void;
	} = {
		profiles(peer, message) {
			options.onProfiles(peer.member.node, message);
		},
		state(peer, message) {
			peer.state = message;
			candidates.invalidate();
			options.onState(message);
			applyLoad(peer, message.load, clock.now());
			reportMemory(peer, message);
		},
		load(peer, {load}) {
			recordLoad(peer, load);
		},
		hello(peer, message) {
			if (checkIdentity(peer, message.member)) {
				deliverMessage(peer, message);
			}
		},
	};

	const deliverMessage = (peer: Peer, message: PeerMessage) => {
		options.onMessage(message, peer.link.sendMessage, peer.member.node);
	};

	const addMembers = (members: Member[], source: MemberSource) => {
		let hasNew = false;
		for (const member of members) {
			if (member.node === self.node) {
				ownEntry.compare(member);
				continue;
			}

			if (isInFuture(member.startedAt, clock.date())) {
				options.onMalformed(
					`an entry of members: ${member.node} starts in the future`,
				);
				continue;
			}

			const change = known.add(member);
			if (change === 'known') {
				continue;
			}

			const peer = peers.get(member.node);
			if (change === 'restarted') {
				peer?.link.retryNow();
				continue;
			}

			hasNew = true;
			if (peer) {
				// If the node lives at its former place, it claims its name.
				links.drop(peer, {kind: 'members', members: [member]});
				candidates.invalidate();
			}

			if (source === 'peer') {
				memberGossip.add(member);
			}
		}

		if (hasNew) {
			refresh();
		}
	};

	/** Opens and closes links to match the selected subsets. */
	const refresh = () => {
		const desired = desiredLinks.choose();
		for (const node of desired) {
			const member = known.get(node);
			if (member && !peers.has(node)) {
				links.open(member);
			}
		}

		links.closeUndesired(desired);
		candidates.invalidate();
	};

	ticker.schedule(subsetRefreshInterval, refresh);
	ticker.schedule(probeInterval, links.probe);
	return {
		addMembers,
		recordHello(stated) {
			const member = withPlausibleStart(stated);
			addMembers([member], 'peer');
			desiredLinks.recordAlive(member.node);
			const peer = peers.get(member.node);
			peer?.link.retryNow();
			const latest = known.get(member.node);
			const isDoubtful =
				latest && isDisplaced(member, latest) && !peer?.link.isUsable();
			return isDoubtful ? latest : undefined;
		},
		candidates(service, tried) {
			if (desiredLinks.recordRequest(service)) {
				refresh();
			}

			return candidates.list(service, tried);
		},
		shedLevels(ownLoad) {
			const linked = new Map<string, TargetLevel[]>([[self.service, []]]);
			for (const {state, load} of peers.values()) {
				const service = state?.target?.service;
				if (service !== undefined) {
					let listed = linked.get(service);
					if (!listed) {
						listed = [];
						linked.set(service, listed);
					}

					listed.push(toTargetLevel(load));
				}
			}

			const own = toTargetLevel(ownLoad);
			const levels = new Map<string, number>();
			for (const [service, targets] of linked) {
				const isOwn = service === self.service;
				levels.set(service, levelOfService(targets, isOwn ? own : undefined));
			}

			return levels;
		},
		targets: () => listTargets(peers.values()),
		membersOf: (service) => known.of(service).length,
		feedPeers: () =>
			links.usable().map(({member, state, link}) => ({
				node: member.node,
				isFollowing:
					state !== undefined &&
					state.isFollowing &&
					!state.isStopping &&
					link.silence() < followerSilenceTimeout,
			})),
		members: known.all,
		isLinked: (node) => peers.get(node)?.link.isUsable() ?? false,
		send(node, message) {
			peers.get(node)?.link.sendMessage(message);
		},
		sendToRandomPeer: links.sendToRandom,
		size: () => known.size() + 1,
		connected: () => links.usable().length,
		linked: links.usable,
		broadcast: links.broadcast,
		close() {
			ownEntry.close();
			memberGossip.close();
			links.close();
		},
	};
}

function toTargetLevel(load: TargetLoad): TargetLevel {
	return {shedLevel: load.shedLevel, isRateLimited: isRateLimited(load)};
}
