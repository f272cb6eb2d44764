/**
 * Simulated network between nodes: ordered channels with delays, cuts that drop
 * the messages in transit, and partitions that delay them or break the channel.
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

/** A process attached to the network. */
export type Endpoint = {
	address: string;
	identity: PeerIdentity;
	execution: ProcessExecution;
};

/** The simulated network and its faults. */
export type FakeNetwork = {
	attach(endpoint: Endpoint): PeerTransport;
	/** Closes an endpoint's channels, as when its process is killed. */
	detach(endpoint: Endpoint): void;
	/** Breaks every channel of a node at once; messages in transit are lost. */
	cut(node: string): void;
	/** Sets the range of one-way delays in milliseconds. */
	setDelay(from: number, to: number): void;
	/** Separates the nodes of one side from the others: messages are delayed until `heal`, or the channel breaks. */
	partition(side: ReadonlySet<string>): void;
	heal(): void;
};

type AttachedEndpoint = Endpoint & {accept: (channel: MessageChannel) => void};
type ChannelPair = {ends: [ChannelEnd, ChannelEnd]; nodes: [string, string]};

/** Timeout of an attempt to connect. */
const connectTimeoutMs = 500;
/** Time after which keep-alive detects a broken channel. */
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
