/**
 * The connections to peers, one task each. A connection is opened when it is
 * first needed and shared by calls, probes and configurations; one that a peer
 * opened serves both directions too.
 */
import {
	acceptCertifiedRefusal,
	createRefusal,
	ErrorCode,
	refuseNotRun,
	type AcknowledgementMessage,
	type CallMessage,
	type CallRequest,
	type ConfigurationBodyMessage,
	type ProbeMessage,
} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';
import type {ExchangeResult} from './exchange-table.js';
import type {MessageChannel, PeerTransport} from './message-channel.js';
import {
	createPeerConnection,
	type PeerConnection,
	type PeerServices,
} from './peer-connection.js';
import type {Supervisor} from './supervisor.js';

/** A peer to be reached. */
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
	/** Undefined when the peer is unreachable, or knows no accepted version. */
	requestConfiguration(
		address: string,
		signal: AbortSignal,
	): Promise<ConfigurationBodyMessage | undefined>;
	count(): number;
	close(): void;
};

/** What the peers are built from. */
export type PeersContext = {
	clock: Clock;
	transport: PeerTransport;
	services: PeerServices;
	supervisor: Supervisor;
};

/**
 * Milliseconds after a failed connect during which the peer counts as
 * unreachable without another try. Without it each request to a dead VM pays a
 * connect of its own until membership has noticed.
 */
const reconnectDelay = 200;

/** Creates the peers; connections that peers open are served from now on. */
export function createPeers(context: PeersContext): Peers {
	const {clock, transport, services, supervisor} = context;
	const byAddress = new Map<string, PeerConnection>();
	const byNode = new Map<string, PeerConnection>();
	const opening = new Map<string, Promise<PeerConnection | undefined>>();
	const failedAt = new Map<string, number>();
	let connectionNumber = 0;

	const serve = (channel: MessageChannel, address?: string) => {
		const connection = createPeerConnection(channel, services);
		const {node} = channel.peer;
		byNode.set(node, connection);
		if (address !== undefined) {
			byAddress.set(address, connection);
		}

		services.reporter.notice({name: 'peerConnected', peer: node});
		supervisor.start(`${node}#${connectionNumber++}`, async (signal) => {
			const close = () => {
				connection.close('stopping');
			};

			signal.addEventListener('abort', close);
			try {
				await connection.serve();
			} finally {
				signal.removeEventListener('abort', close);
				forget(connection, node, address);
			}
		});
		return connection;
	};

	const forget = (
		connection: PeerConnection,
		node: string,
		address: string | undefined,
	) => {
		if (byNode.get(node) === connection) {
			byNode.delete(node);
		}

		if (address !== undefined && byAddress.get(address) === connection) {
			byAddress.delete(address);
		}

		services.reporter.notice({name: 'peerLost', peer: node});
	};

	const open = async (address: string): Promise<PeerConnection | undefined> => {
		const channel = await transport.connect(address, supervisor.signal);
		opening.delete(address);
		if (!channel) {
			failedAt.set(address, clock.now());
			return undefined;
		}

		failedAt.delete(address);
		return serve(channel, address);
	};

	const connect = async (
		address: string,
		node?: string,
	): Promise<PeerConnection | undefined> => {
		const known =
			byAddress.get(address) ??
			(node === undefined ? undefined : byNode.get(node));
		if (known) {
			return known;
		}

		const failed = failedAt.get(address);
		if (failed !== undefined && clock.now() - failed < reconnectDelay) {
			return undefined;
		}

		let pending = opening.get(address);
		if (!pending) {
			pending = open(address);
			opening.set(address, pending);
		}

		return pending;
	};

	transport.accept((channel) => {
		serve(channel);
	});

	return {
		async call(peer, request, options, signal) {
			const known = byAddress.get(peer.peerAddress) ?? byNode.get(peer.node);
			const connection = known ?? (await connect(peer.peerAddress, peer.node));
			// An address can have passed to another node: a call for one must
			// never run at the other under a false name.
			return connection?.peer.node === peer.node
				? connection.call(request, options, signal)
				: unreachable();
		},
		async probe(address, probe, signal) {
			const connection = await connect(address);
			return connection?.probe(probe, signal);
		},
		async requestConfiguration(address, signal) {
			const connection = await connect(address);
			return connection?.requestConfiguration(signal);
		},
		count: () => byNode.size,
		close() {
			for (const connection of [...byAddress.values(), ...byNode.values()]) {
				connection.close('stopping');
			}
		},
	};
}

function unreachable(): ExchangeResult {
	return {
		outcome: refuseNotRun(
			acceptCertifiedRefusal('connectRefused'),
			createRefusal(ErrorCode.TargetUnreachable, {retryAfter: 0}),
		),
	};
}
