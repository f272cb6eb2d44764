/** Manages the links that this node opens to other nodes. */
import type {Clock, Random} from '@egretspoke/shared';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import {createPeer, type Peer} from './peer.js';
import {
	createPeerLink,
	idleProbeTimeout,
	type LinkLoss,
	type PeerLink,
} from './peer-link.js';
import type {Member, PeerMessage} from './peer-message.js';

/** Options of `createPeerLinks`. */
export type PeerLinksOptions = {
	clock: Clock;
	random: Random;
	budget: MemoryBudget;
	/** Returns the messages to send first on each connection. */
	hello: () => PeerMessage[];
	/** Receives the messages of linked nodes. */
	onMessage: (peer: Peer, message: PeerMessage) => void;
	onMalformed: (detail: string) => void;
	/** A connection is closed because its peer does not read; receives the unread bytes. */
	onUnread: (bytes: number) => void;
	onPeer: (node: string, change: 'up' | 'down') => void;
	/** Called when requests end with their connection to the node. */
	onLost: (node: string, loss: LinkLoss) => void;
};

/** The links to other nodes. */
export type PeerLinks = {
	/** Linked nodes by name, including those whose links are unusable. */
	peers: ReadonlyMap<string, Peer>;
	/** Linked nodes whose links are usable. */
	usable(): Peer[];
	open(member: Member): void;
	/** Ends the link to a node permanently, with a last message to it; requests on it may still complete. */
	drop(peer: Peer, lastMessage?: PeerMessage): void;
	/** Closes links to other than the desired nodes, once they have been idle and undesired for a while. */
	closeUndesired(desired: ReadonlySet<string>): void;
	/** Probes silent links; called every `probeInterval`. */
	probe(): void;
	broadcast(message: PeerMessage): void;
	/** Sends a message over one usable link, chosen at random. */
	sendToRandom(message: PeerMessage): void;
	close(): void;
};

/** Milliseconds for which an undesired link stays open, so that an intermittently available target causes no reconnects. */
const undesiredTimeout = 10_000;

/** Creates a manager without links. */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
	const {clock, random} = options;
	const peers = new Map<string, Peer>();
	/** Dropped links that are still in use. */
	const retired = new Set<PeerLink>();

	const isLinked = (peer: Peer) => peers.get(peer.member.node) === peer;

	const recordChange = (peer: Peer, isUsable: boolean) => {
		peer.downSince = isUsable ? undefined : clock.now();
		if (!isUsable) {
			peer.state = undefined;
		}

		if (isLinked(peer)) {
			options.onPeer(peer.member.node, isUsable ? 'up' : 'down');
		}
	};

	const drop = (peer: Peer, lastMessage?: PeerMessage) => {
		const {member, link} = peer;
		peers.delete(member.node);
		link.retire(lastMessage);
		if (!link.isUnused()) {
			retired.add(link);
		}
	};

	const usable = () => [...peers.values()].filter(({link}) => link.isUsable());

	return {
		peers,
		usable,
		open(member) {
			const link = createPeerLink({
				address: member.address,
				clock,
				budget: options.budget,
				hello: options.hello,
				onMalformed: options.onMalformed,
				onUnread: options.onUnread,
				onMessage(message) {
					// A permanently closed link may still have a message in flight.
					if (isLinked(peer)) {
						options.onMessage(peer, message);
					}
				},
				onLost(loss) {
					options.onLost(member.node, loss);
				},
				onChange(isUsable) {
					recordChange(peer, isUsable);
				},
			});
			const peer = createPeer(member, link, clock.now());
			peers.set(member.node, peer);
		},
		drop,
		closeUndesired(desired) {
			const now = clock.now();
			for (const [node, peer] of peers) {
				if (desired.has(node)) {
					peer.undesiredSince = undefined;
					continue;
				}

				peer.undesiredSince ??= now;
				const isIdle = peer.link.isUnused();
				if (isIdle && now - peer.undesiredSince >= undesiredTimeout) {
					drop(peer);
				}
			}
		},
		probe() {
			for (const link of retired) {
				link.probe();
				if (link.isUnused()) {
					retired.delete(link);
				}
			}

			let hasProbedIdle = false;
			for (const {link} of peers.values()) {
				hasProbedIdle = link.probe() || hasProbedIdle;
			}

			if (hasProbedIdle) {
				// Links that are due soon are probed in the same turn. The answers arrive
				// together and wake this node up once; each alone would wake it up again.
				for (const {link} of peers.values()) {
					link.probe(idleProbeTimeout / 2);
				}
			}
		},
		broadcast(message) {
			for (const {link} of peers.values()) {
				link.sendMessage(message);
			}
		},
		sendToRandom(message) {
			const usablePeers = usable();
			if (usablePeers.length > 0) {
				usablePeers[random.below(usablePeers.length)]!.link.sendMessage(
					message,
				);
			}
		},
		close() {
			for (const {link} of peers.values()) {
				link.close();
			}

			for (const link of retired) {
				link.close();
			}
		},
	};
}
