/**
 * The network between nodes: channels in order, with delays, cuts that lose
 * what was under way, and partitions that hold it or break the channel.
 */
import type {Message} from '@egretspoke/protocol';
import type {
	MessageChannel,
	PeerIdentity,
	PeerTransport,
} from '@egretspoke/node';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {createChannelEnd, type ChannelEnd} from './fake-channel.js';
import type {ProcessGate} from './process-gate.js';

/** A process on the network. */
export type Endpoint = {
	address: string;
	identity: PeerIdentity;
	gate: ProcessGate;
};

/** The network and its faults. */
export type FakeNetwork = {
	attach(endpoint: Endpoint): PeerTransport;
	/** Ends an endpoint's channels as the death of its process does. */
	detach(endpoint: Endpoint): void;
	/** Breaks every channel of a node at once; what was under way is lost. */
	cut(node: string): void;
	/** Milliseconds one way. */
	setDelay(from: number, to: number): void;
	/** Holds what passes between the nodes of the side and the others. */
	partition(side: ReadonlySet<string>): void;
	heal(): void;
};

type Attached = Endpoint & {accept: (channel: MessageChannel) => void};
type Pair = {ends: [ChannelEnd, ChannelEnd]; nodes: [string, string]};

/** Milliseconds after which an attempt to connect is given up. */
const connectTimeout = 500;
/** Milliseconds after which a silent channel is found broken. */
const keepAlive = 1000;

/** Creates a network without endpoints. */
export function createFakeNetwork(clock: Clock, random: Random): FakeNetwork {
	const attached = new Map<string, Attached>();
	const pairs = new Set<Pair>();
	let delays = {from: 0.2, to: 1.5};
	let side: ReadonlySet<string> | undefined;

	const drawDelay = () =>
		delays.from + random.fraction() * (delays.to - delays.from);
	const isCut = (left: string, right: string) =>
		side !== undefined && side.has(left) !== side.has(right);

	const breakPair = (pair: Pair) => {
		pairs.delete(pair);
		for (const end of pair.ends) {
			end.break();
		}
	};

	const breakWhere = (isBroken: (pair: Pair) => boolean) => {
		for (const pair of pairs) {
			if (isBroken(pair)) {
				breakPair(pair);
			}
		}
	};

	const open = (opener: Endpoint, acceptor: Attached): MessageChannel => {
		const link = {
			clock,
			drawDelay,
			isCut: () => isCut(opener.identity.node, acceptor.identity.node),
		};
		const here = createChannelEnd(link, acceptor.identity, opener.gate);
		const there = createChannelEnd(link, opener.identity, acceptor.gate);
		here.connect(there);
		there.connect(here);
		pairs.add({
			ends: [here, there],
			nodes: [opener.identity.node, acceptor.identity.node],
		});
		acceptor.accept(there);
		return here;
	};

	const connect = async (
		opener: Endpoint,
		address: string,
	): Promise<MessageChannel | undefined> => {
		await sleep(clock, drawDelay());
		const acceptor = attached.get(address);
		const isReachable =
			acceptor && !isCut(opener.identity.node, acceptor.identity.node);
		if (!isReachable) {
			return undefined;
		}

		return new Promise((resolve) => {
			let isOver = false;
			const finish = (channel?: MessageChannel) => {
				isOver = true;
				timer.cancel();
				resolve(channel);
			};

			const timer = clock.setTimer(connectTimeout, finish);
			acceptor.gate.run(() => {
				if (!isOver && attached.get(address) === acceptor) {
					finish(open(opener, acceptor));
				}
			});
		});
	};

	return {
		attach(endpoint) {
			const entry: Attached = {...endpoint, accept: () => undefined};
			attached.set(endpoint.address, entry);
			return {
				connect: async (address) =>
					endpoint.gate.hold(connect(endpoint, address)),
				accept(handler: (channel: MessageChannel) => void) {
					entry.accept = handler;
				},
				async close() {
					attached.delete(endpoint.address);
				},
			};
		},
		detach(endpoint) {
			attached.delete(endpoint.address);
			breakWhere(({nodes}) => nodes.includes(endpoint.identity.node));
		},
		cut(node) {
			breakWhere(({nodes}) => nodes.includes(node));
		},
		setDelay(from, to) {
			delays = {from, to};
		},
		partition(nodes) {
			side = nodes;
			for (const pair of pairs) {
				if (isCut(...pair.nodes) && random.below(2) === 0) {
					clock.setTimer(keepAlive, () => {
						if (isCut(...pair.nodes)) {
							breakPair(pair);
						}
					});
				}
			}
		},
		heal() {
			side = undefined;
		},
	};
}
