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
import type {ProcessExecution} from './process-execution.js';

/** A process on the network. */
export type Endpoint = {
	address: string;
	identity: PeerIdentity;
	execution: ProcessExecution;
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

type AttachedEndpoint = Endpoint & {accept: (channel: MessageChannel) => void};
type ChannelPair = {ends: [ChannelEnd, ChannelEnd]; nodes: [string, string]};

/** Milliseconds after which an attempt to connect is given up. */
const connectTimeoutMs = 500;
/** Milliseconds after which a silent channel is found broken. */
const keepAliveTimeoutMs = 1000;

/** Creates a network without endpoints. */
export function createFakeNetwork(clock: Clock, random: Random): FakeNetwork {
	const attached = new Map<string, AttachedEndpoint>();
	const pairs = new Set<ChannelPair>();
	let delays = {from: 0.2, to: 1.5};
	let side: ReadonlySet<string> | undefined;

	const drawDelay = () =>
		delays.from + random.fraction() * (delays.to - delays.from);
	const isCut = (left: string, right: string) =>
		side !== undefined && side.has(left) !== side.has(right);

	const breakPair = (pair: ChannelPair) => {
		pairs.delete(pair);
		for (const end of pair.ends) {
			end.break();
		}
	};

	const breakMatchingPairs = (isBroken: (pair: ChannelPair) => boolean) => {
		for (const pair of pairs) {
			if (isBroken(pair)) {
				breakPair(pair);
			}
		}
	};

	const open = (
		opener: Endpoint,
		acceptor: AttachedEndpoint,
	): MessageChannel => {
		const link = {
			clock,
			drawDelay,
			isCut: () => isCut(opener.identity.node, acceptor.identity.node),
		};
		const openerEnd = createChannelEnd(
			link,
			acceptor.identity,
			opener.execution,
		);
		const acceptorEnd = createChannelEnd(
			link,
			opener.identity,
			acceptor.execution,
		);
		openerEnd.connect(acceptorEnd);
		acceptorEnd.connect(openerEnd);
		pairs.add({
			ends: [openerEnd, acceptorEnd],
			nodes: [opener.identity.node, acceptor.identity.node],
		});
		acceptor.accept(acceptorEnd);
		return openerEnd;
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
			let isFinished = false;
			const finish = (channel?: MessageChannel) => {
				isFinished = true;
				timer.cancel();
				resolve(channel);
			};

			const timer = clock.setTimer(connectTimeoutMs, finish);
			acceptor.execution.run(() => {
				if (!isFinished && attached.get(address) === acceptor) {
					finish(open(opener, acceptor));
				}
			});
		});
	};

	return {
		attach(endpoint) {
			const entry: AttachedEndpoint = {...endpoint, accept: () => undefined};
			attached.set(endpoint.address, entry);
			return {
				connect: async (address) =>
					endpoint.execution.hold(connect(endpoint, address)),
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
			breakMatchingPairs(({nodes}) => nodes.includes(endpoint.identity.node));
		},
		cut(node) {
			breakMatchingPairs(({nodes}) => nodes.includes(node));
		},
		setDelay(from, to) {
			delays = {from, to};
		},
		partition(nodes) {
			side = nodes;
			for (const pair of pairs) {
				if (isCut(...pair.nodes) && random.below(2) === 0) {
					clock.setTimer(keepAliveTimeoutMs, () => {
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
