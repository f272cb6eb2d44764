/**
 * Spreads news through the fleet: each node passes on what it hears of for the
 * first time to a few peers, so that all know of it after some rounds and no
 * node has to tell all others.
 */
import type {Clock, Random, Timer} from '@egretspoke/shared';
import type {Peer} from './peer.js';
import type {Member, PeerMessage} from './peer-message.js';

/** What gossip needs. */
export type GossipOptions<Item> = {
	clock: Clock;
	random: Random;
	self: Pick<Member, 'dataCentre'>;
	/** The nodes whose links can be used. */
	links: () => Array<Pick<Peer, 'member' | 'link'>>;
	toMessage: (items: Item[]) => PeerMessage;
};

/** The news that wait to be passed on. */
export type Gossip<Item> = {
	add(item: Item): void;
	close(): void;
};

/** Milliseconds in which news are batched into one message. */
const gatherTime = 100;
/** Nodes of this data centre that get the news from this node. */
const nearReceivers = 4;
/** Nodes of other data centres that do; what crosses is paid for. */
const farReceivers = 1;

/** Creates gossip of which nothing waits. */
export function createGossip<Item>(options: GossipOptions<Item>): Gossip<Item> {
	const {clock, random, self} = options;
	let waiting: Item[] = [];
	let timer: Timer | undefined;

	const draw = <T>(from: T[], count: number): T[] => {
		const left = [...from];
		const drawn: T[] = [];
		while (drawn.length < count && left.length > 0) {
			drawn.push(...left.splice(random.below(left.length), 1));
		}

		return drawn;
	};

	const tell = () => {
		timer = undefined;
		const message = options.toMessage(waiting);
		waiting = [];
		const links = options.links();
		const isNear = ({member}: Pick<Peer, 'member'>) =>
			member.dataCentre === self.dataCentre;
		const near = links.filter((peer) => isNear(peer));
		const far = links.filter((peer) => !isNear(peer));
		for (const {link} of [
			...draw(near, nearReceivers),
			...draw(far, farReceivers),
		]) {
			link.sendMessage(message);
		}
	};

	return {
		add(item) {
			waiting.push(item);
			timer ??= clock.setTimer(gatherTime, tell);
		},
		close() {
			timer?.cancel();
		},
	};
}
