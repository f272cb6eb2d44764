/**
 * Spreads items through the fleet: each node forwards the items that are new to
 * it to a few peers, so that all nodes receive them after some rounds and no
 * node has to send them to all others.
 */
import type {Clock, Random, Timer} from '@egretspoke/shared';
import type {Peer} from '../links/peer.js';
import type {Member, PeerMessage} from '../links/peer-message.js';

/** Options of `createGossip`. */
export type GossipOptions<Item> = {
	clock: Clock;
	random: Random;
	self: Pick<Member, 'dataCentre'>;
	/** Returns the nodes whose links are usable. */
	links: () => Array<Pick<Peer, 'member' | 'link'>>;
	toMessage: (items: Item[]) => PeerMessage;
};

/** Items that wait to be forwarded. */
export type Gossip<Item> = {
	add(item: Item): void;
	close(): void;
};

/** Milliseconds during which items are batched into one message. */
const batchInterval = 100;
/** Nodes of the local data centre that each batch is sent to. */
const localFanout = 4;
/** Nodes of other data centres that each batch is sent to; this traffic is billed. */
const remoteFanout = 1;

/** Creates gossip without waiting items. */
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

	const flush = () => {
		timer = undefined;
		const message = options.toMessage(waiting);
		waiting = [];
		const links = options.links();
		const isLocal = ({member}: Pick<Peer, 'member'>) =>
			member.dataCentre === self.dataCentre;
		const local = links.filter((peer) => isLocal(peer));
		const remote = links.filter((peer) => !isLocal(peer));
		for (const {link} of [
			...draw(local, localFanout),
			...draw(remote, remoteFanout),
		]) {
			link.sendMessage(message);
		}
	};

	return {
		add(item) {
			waiting.push(item);
			timer ??= clock.setTimer(batchInterval, flush);
		},
		close() {
			timer?.cancel();
		},
	};
}
