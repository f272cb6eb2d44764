/**
 * The links of this node to the others: which it keeps, what comes over them,
 * and the targets that they lead to.
 *
 * Whatever the size of the fleet, links are kept to a bounded subset of each
 * service (`peer-subset.ts`) and opened by need.
 */
import type {Clock, Random} from '@egretspoke/shared';
import type {FeedPeer} from './decisions/feed-followers.js';
import {createKnownMembers} from './known-members.js';
import {createMemberGossip} from './member-gossip.js';
import {
	createPeerCandidate,
	applyLoad,
	usableTarget,
	type Peer,
	type TargetCandidate,
} from './peer.js';
import type {
	Member,
	PeerMessage,
	ProfilesMessage,
	StateMessage,
} from './peer-message.js';
import {probeInterval} from './peer-link.js';
import {createPeerLinks} from './peer-links.js';
import type {Ticker} from './ticker.js';
import {createDesiredLinks} from './desired-links.js';

export type {TargetCandidate} from './peer.js';

/** What a directory needs. */
export type DirectoryOptions = {
	clock: Clock;
	random: Random;
	ticker: Ticker;
	self: Member;
	hello: () => PeerMessage[];
	onMessage: (
		message: PeerMessage,
		reply: (message: PeerMessage) => void,
	) => void;
	onMalformed: (detail: string) => void;
	/** A node told its state. */
	onState: (state: StateMessage) => void;
	/** A node told what requests cause at its target. */
	onProfiles: (node: string, message: ProfilesMessage) => void;
	onPeer: (node: string, change: 'up' | 'down') => void;
	/** Members that this node needs links to whatever their service. */
	pinned: () => Iterable<string>;
};

/** Where members were learnt from; what peers tell is passed on. */
export type MemberSource = 'store' | 'peer';

/** The directory. */
export type Directory = {
	/** Takes members; links are opened to those that the subsets want. */
	addMembers(members: Member[], source: MemberSource): void;
	/** A member said hello: it is there, whatever was believed of it. */
	noteHello(member: Member): void;
	/** Targets of the service that may be chosen, other than the one beside this node. */
	candidates(service: string, tried: ReadonlySet<string>): TargetCandidate[];
	/** The services of the linked targets, each with the mean of their shed levels. */
	shedLevels(): Map<string, number>;
	/** The nodes whose links can be used, with what they said of the feed. */
	feedPeers(): FeedPeer[];
	/** All members that this node has heard of, itself left out. */
	members(): Member[];
	/** Whether the link to the node can be used. */
	isLinked(node: string): boolean;
	/** Tells a linked node. */
	tell(node: string, message: PeerMessage): void;
	/** Tells one linked node, drawn at random. */
	tellOne(message: PeerMessage): void;
	/** How many nodes there are, this one counted. */
	size(): number;
	/** Nodes whose links can be used. */
	connected(): number;
	/** The same, with their links. */
	linked(): Array<Pick<Peer, 'member' | 'link'>>;
	/** Tells every linked node. */
	tellAll(message: PeerMessage): void;
	close(): void;
};

/** Milliseconds between two looks at the subsets. */
const subsetPeriod = 600;

/** Creates a directory that knows nobody. */
export function createDirectory(options: DirectoryOptions): Directory {
	const {clock, random, self, ticker} = options;
	const known = createKnownMembers(self.node);
	const links = createPeerLinks({
		clock,
		random,
		hello: options.hello,
		onMessage(peer, message) {
			const handle = handlers[message.kind] ?? receiveNews;
			handle(peer, message as never);
		},
		onMalformed: options.onMalformed,
		onPeer: options.onPeer,
	});
	const {peers} = links;
	const wantedMembers = createDesiredLinks({
		clock,
		self,
		known,
		peers,
		pinned: options.pinned,
	});
	const news = createMemberGossip({clock, random, self, links: links.usable});

	/** An address may belong to another node by now, which then answers in its place. */
	const checkIdentity = (peer: Peer, found: Member): boolean => {
		const isExpected = found.node === peer.member.node;
		if (!isExpected) {
			known.remove(peer.member.node);
			links.drop(peer);
			addMembers([found], 'peer');
		}

		return isExpected;
	};

	/** Messages about the peer itself; the others may come on either side of a link. */
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
			options.onState(message);
			applyLoad(peer, message.load);
		},
		load(peer, {load}) {
			applyLoad(peer, load);
		},
		hello(peer, message) {
			if (checkIdentity(peer, message.member)) {
				receiveNews(peer, message);
			}
		},
	};

	const receiveNews = (peer: Peer, message: PeerMessage) => {
		options.onMessage(message, (reply) => {
			peer.link.sendMessage(reply);
		});
	};

	const addMembers = (members: Member[], source: MemberSource) => {
		let hasNew = false;
		for (const member of members) {
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
				links.drop(peer);
			}

			if (source === 'peer') {
				news.add(member);
			}
		}

		if (hasNew) {
			refresh();
		}
	};

	/** Opens and closes links so that the subsets are as wanted. */
	const refresh = () => {
		const wanted = wantedMembers.choose();
		for (const node of wanted) {
			const member = known.get(node);
			if (member && !peers.has(node)) {
				links.open(member);
			}
		}

		links.closeUndesired(wanted);
	};

	ticker.schedule(subsetPeriod, refresh);
	ticker.schedule(probeInterval, links.probe);
	return {
		addMembers,
		noteHello(member) {
			addMembers([member], 'peer');
			wantedMembers.recordAlive(member.node);
			peers.get(member.node)?.link.retryNow();
		},
		candidates(service, tried) {
			if (wantedMembers.recordRequest(service)) {
				refresh();
			}

			const found: TargetCandidate[] = [];
			for (const peer of peers.values()) {
				const target = usableTarget(peer, service);
				if (target && !tried.has(peer.member.node)) {
					found.push(
						createPeerCandidate(peer, target.slots, self.dataCentre, clock),
					);
				}
			}

			return found;
		},
		shedLevels() {
			const levels = new Map<string, number[]>();
			for (const {state, load} of peers.values()) {
				const service = state?.target?.service;
				if (service !== undefined) {
					const listed = levels.get(service) ?? [];
					listed.push(load.shedLevel);
					levels.set(service, listed);
				}
			}

			return new Map(
				[...levels].map(([service, values]) => [service, mean(values)]),
			);
		},
		feedPeers: () =>
			links.usable().map(({member, state}) => ({
				node: member.node,
				isFollowing: (state?.isFollowing ?? false) && !state?.isStopping,
			})),
		members: known.all,
		isLinked: (node) => peers.get(node)?.link.isUsable() ?? false,
		tell(node, message) {
			peers.get(node)?.link.sendMessage(message);
		},
		tellOne: links.sendToRandom,
		size: () => known.size() + 1,
		connected: () => links.usable().length,
		linked: links.usable,
		tellAll: links.broadcast,
		close() {
			news.close();
			links.close();
		},
	};
}

function mean(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
