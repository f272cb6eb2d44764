/** The links that this node has opened, and what comes over them. */
import type {Clock, Random} from '@egretspoke/shared';
import {createPeer, type Peer} from './peer.js';
import {createPeerLink} from './peer-link.js';
import type {Member, PeerMessage} from './peer-message.js';

/** What the links need. */
export type PeerLinksOptions = {
	clock: Clock;
	random: Random;
	/** What to say first on each link. */
	hello: () => PeerMessage[];
	/** A message of a node that is still linked. */
	onMessage: (peer: Peer, message: PeerMessage) => void;
	onMalformed: (detail: string) => void;
	onPeer: (node: string, change: 'up' | 'down') => void;
};

/** The links. */
export type PeerLinks = {
	/** The linked nodes, by name, whether their links can be used or not. */
	peers: ReadonlyMap<string, Peer>;
	/** The nodes whose links can be used. */
	usable(): Peer[];
	open(member: Member): void;
	/** Closes the link to a node for good. */
	drop(peer: Peer): void;
	/** Closes links to others than the wanted nodes, once they have been idle and unwanted for a while. */
	closeUndesired(wanted: ReadonlySet<string>): void;
	/** Asks those that have been silent; to be called in each period. */
	probe(): void;
	broadcast(message: PeerMessage): void;
	/** Tells one linked node, drawn at random. */
	sendToRandom(message: PeerMessage): void;
	close(): void;
};

/** Milliseconds for which a link that is not wanted any more is kept, so that a target that comes and goes costs no connections. */
const unwantedTime = 10_000;

/** Creates no links yet. */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
	const {clock, random} = options;
	const peers = new Map<string, Peer>();

	const isLinked = (peer: Peer) => peers.get(peer.member.node) === peer;

	const noteChange = (peer: Peer, isUsable: boolean) => {
		peer.downSince = isUsable ? undefined : clock.now();
		if (!isUsable) {
			peer.state = undefined;
		}

		if (isLinked(peer)) {
			options.onPeer(peer.member.node, isUsable ? 'up' : 'down');
		}
	};

	const drop = (peer: Peer) => {
		peers.delete(peer.member.node);
		peer.link.close();
	};

	const usable = () => [...peers.values()].filter(({link}) => link.isUsable());

	return {
		peers,
		usable,
		open(member) {
			const link = createPeerLink({
				address: member.address,
				clock,
				hello: options.hello,
				onMalformed: options.onMalformed,
				onMessage(message) {
					// A link that is closed for good may still have a message under way.
					if (isLinked(peer)) {
						options.onMessage(peer, message);
					}
				},
				onChange(isUsable) {
					noteChange(peer, isUsable);
				},
			});
			const peer = createPeer(member, link, clock.now());
			peers.set(member.node, peer);
		},
		drop,
		closeUndesired(wanted) {
			const now = clock.now();
			for (const [node, peer] of peers) {
				if (wanted.has(node)) {
					peer.undesiredSince = undefined;
					continue;
				}

				peer.undesiredSince ??= now;
				const isIdle = peer.link.outstanding() === 0;
				if (isIdle && now - peer.undesiredSince >= unwantedTime) {
					drop(peer);
				}
			}
		},
		probe() {
			for (const {link} of peers.values()) {
				link.probe();
			}
		},
		broadcast(message) {
			for (const {link} of peers.values()) {
				link.sendMessage(message);
			}
		},
		sendToRandom(message) {
			const known = usable();
			if (known.length > 0) {
				known[random.below(known.length)]!.link.sendMessage(message);
			}
		},
		close() {
			for (const {link} of peers.values()) {
				link.close();
			}
		},
	};
}
