/**
 * The connections to peers, one task each. A connection is opened when it is
 * first needed and shared by calls, probes and configurations. A connection
 * opened by a peer is also used in both directions.
 */
import type {
	AcknowledgementMessage,
	CallMessage,
	CallRequest,
	ConfigurationBodyMessage,
	ProbeMessage,
	SuspectsMessage,
} from '@egretspoke/protocol';
import {createTicks, type Clock, type Supervisor} from '@egretspoke/shared';
import {createUnsentResult, type ExchangeResult} from './exchange-table.js';
import {describeError} from './node-reporter.js';
import type {MessageChannel, PeerTransport} from './message-channel.js';
import {
	createPeerConnection,
	type PeerConnection,
	type PeerServices,
} from './peer-connection.js';

/** A peer and its address. */
export type PeerAddress = {node: string; peerAddress: string};

/** All peers of a node. */
export type Peers = {
	call(
		peer: PeerAddress,
		request: CallRequest,
		options: {role: CallMessage['role']; home?: string},
		signal: AbortSignal,
	): Promise<ExchangeResult>;
	probe(
		address: string,
		probe: Omit<ProbeMessage, 'type' | 'sequence'>,
		signal: AbortSignal,
	): Promise<AcknowledgementMessage | undefined>;
	/** Undefined when the peer is unreachable or has no accepted version. */
	requestConfiguration(
		address: string,
		signal: AbortSignal,
	): Promise<ConfigurationBodyMessage | undefined>;
	/** Sends suspects to a peer if it can be reached. */
	sendSuspects(address: string, message: SuspectsMessage): Promise<void>;
	count(): number;
	close(): void;
};

/** Dependencies of the peers. */
export type PeersContext = {
	/** This node's name. */
	self: string;
	clock: Clock;
	transport: PeerTransport;
	services: PeerServices;
	supervisor: Supervisor;
	/** The node that announced this peer address. */
	nodeByAddress(address: string): string | undefined;
};

/**
 * Milliseconds after a failed connect during which the peer counts as
 * unreachable without another attempt. Otherwise each request to a dead VM would
 * wait for its own connect until membership detects the failure.
 */
const reconnectCooldown = 200;

/**
 * Milliseconds without an exchange after which a connection is closed. Every
 * node probes every other from time to time, so each of N nodes would otherwise
 * keep N connections and their buffers open permanently.
 */
const idleTime = 300_000;
const idleCheckInterval = 30_000;

type OpenPeer = {
	connection: PeerConnection;
	/** Messages received at the last idle check; `idleSince` is when that number last changed. */
	received: number;
	idleSince: number;
};

/** Creates the peers and starts to serve connections that peers open. */
export function createPeers(context: PeersContext): Peers {
	const {clock, transport, services, supervisor} = context;
	const byNode = new Map<string, OpenPeer>();
	const all = new Set<OpenPeer>();
	const opening = new Map<string, Promise<PeerConnection | undefined>>();
	const failedAt = new Map<string, number>();
	let connectionNumber = 0;

	const serve = (channel: MessageChannel, isOpener: boolean) => {
		const connection = createPeerConnection(channel, services);
		const {node} = channel.peer;
		const open: OpenPeer = {connection, received: 0, idleSince: clock.now()};
		all.add(open);
		// Two nodes that connect to each other at the same time get two
		// connections. Both sides use the one opened by the lower name, and the
		// other becomes idle.
		if (!byNode.has(node) || isOpener === context.self < node) {
			byNode.set(node, open);
		}

		services.reporter.recordEvent({name: 'peerConnected', peer: node});
		supervisor.start(`${node}#${connectionNumber++}`, async (signal) => {
			const close = () => {
				connection.close('stopping');
			};

			signal.addEventListener('abort', close);
			try {
				await connection.serve();
			} catch (error) {
				// Not an error of the task: a restart could read nothing more.
				services.reporter.recordEvent({
					name: 'taskFailed',
					task: `connection of ${node}`,
					detail: describeError(error),
				});
			} finally {
				signal.removeEventListener('abort', close);
				removeConnection(open, node);
			}
		});
		return connection;
	};

	const removeConnection = (open: OpenPeer, node: string) => {
		all.delete(open);
		if (byNode.get(node) === open) {
			byNode.delete(node);
			const other = [...all].find(
				({connection}) => connection.peer.node === node,
			);
			if (other) {
				byNode.set(node, other);
			}
		}

		services.reporter.recordEvent({name: 'peerLost', peer: node});
	};

	const open = async (address: string): Promise<PeerConnection | undefined> => {
		let channel: MessageChannel | undefined;
		try {
			channel = await transport.connect(address, supervisor.signal);
		} finally {
			// Otherwise every later request to the address would share the failure.
			opening.delete(address);
		}

		if (!channel) {
			failedAt.set(address, clock.now());
			return undefined;
		}

		failedAt.delete(address);
		return serve(channel, true);
	};

	const connect = async (
		address: string,
	): Promise<PeerConnection | undefined> => {
		const node = context.nodeByAddress(address);
		const existing = node === undefined ? undefined : byNode.get(node);
		if (existing) {
			return existing.connection;
		}

		const failed = failedAt.get(address);
		if (failed !== undefined && clock.now() - failed < reconnectCooldown) {
			return undefined;
		}

		let pending = opening.get(address);
		if (!pending) {
			pending = open(address);
			opening.set(address, pending);
		}

		return pending;
	};

	const closeIdle = () => {
		const now = clock.now();
		for (const open of all) {
			const {connection} = open;
			const isBusy = connection.openExchanges() > 0;
			if (isBusy || connection.received() > open.received) {
				open.received = connection.received();
				open.idleSince = now;
			} else if (now - open.idleSince > idleTime) {
				connection.close('idle');
			}
		}
	};

	transport.accept((channel) => {
		serve(channel, false);
	});
	void createTicks(clock, idleCheckInterval, supervisor.signal).observe(
		closeIdle,
	);

	return {
		async call(peer, request, options, signal) {
			const existing = byNode.get(peer.node)?.connection;
			const connection = existing ?? (await connect(peer.peerAddress));
			// The address may have passed to another node. A call for one node must
			// never run at another.
			return connection?.peer.node === peer.node
				? connection.call(request, options, signal)
				: createUnsentResult();
		},
		async probe(address, probe, signal) {
			const connection = await connect(address);
			return connection?.probe(probe, signal);
		},
		async requestConfiguration(address, signal) {
			const connection = await connect(address);
			return connection?.requestConfiguration(signal);
		},
		async sendSuspects(address, message) {
			const connection = await connect(address);
			connection?.sendSuspects(message);
		},
		count: () => byNode.size,
		close() {
			for (const {connection} of all) {
				connection.close('stopping');
			}
		},
	};
}
