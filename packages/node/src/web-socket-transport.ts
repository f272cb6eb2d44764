/** Peer channels over `ws`. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {
	guardServer,
	remoteAddressSchema,
	runDetached,
	shortRequestLimits,
	type Clock,
	type ConnectionBudget,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import type {MessageChannel, PeerTransport} from './message-channel.js';
import type {HandshakeFailure} from './peer-handshake.js';
import {openChannel, type ChannelContext} from './web-socket-channel.js';

/** Receives an error of a server that listens, such as EMFILE. */
export type OnListenerError = (error: Error) => void;

/** Options of the transport. */
export type WebSocketTransportOptions = ChannelContext & {
	/** The largest message in bytes: a body and its headers. */
	messageLimit: number;
	/** Bounds what the connections of all listeners hold. */
	connectionBudget: ConnectionBudget;
	/** Maximum concurrent handshakes of incoming connections; more are refused. */
	handshakeLimit: number;
	/** Called with the reason when a peer was refused. */
	onRefused: (detail: string) => void;
	/** Called when the listener reports an error after it has started; it goes on. */
	onListenerError?: OnListenerError;
};

/** The transport with its listener. */
export type WebSocketTransport = PeerTransport & {
	listen(host: string, port: number): Promise<number>;
};

/** Timeout in milliseconds for opening a connection; a slower peer counts as unreachable. */
const connectTimeoutMs = 2000;

/** Maximum connections waiting to be accepted; the system tries again after seconds when one is dropped. */
const backlog = 4096;

/** Maximum time in milliseconds for peers to receive what was sent before the close. */
const closeTimeoutMs = 1000;

/** Maximum number of fragments of a message; nodes send each message as one. */
const maxFragments = 16;
/** Maximum number of parts of a message that the system delivers. */
const maxBufferedChunks = 16_384;

/** Creates the transport; nothing listens until `listen`. */
export function createWebSocketTransport(
	options: WebSocketTransportOptions,
): WebSocketTransport {
	const server = createServer((_request, response) => {
		response.writeHead(426, {connection: 'close'}).end();
	});
	const socketServer = new WebSocketServer({
		server,
		maxPayload: options.messageLimit,
		maxFragments,
		maxBufferedChunks,
		perMessageDeflate: false,
	});
	const guard = guardServer(server, {
		budget: options.connectionBudget,
		limits: shortRequestLimits,
	});
	// `ws` emits the errors of its server again, and throws without a listener.
	socketServer.on('error', () => undefined);
	const sockets = new Set<WebSocket>();
	let handler: (channel: MessageChannel) => void = () => undefined;
	let handshakesInProgress = 0;

	const track = (socket: WebSocket) => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
	};

	/** Counts what arrives on an accepted connection and is no whole message. */
	const guardLink = (socket: WebSocket, connection: Socket) => {
		const link = {complete: connection.bytesRead, isKnown: false};
		socket.on('message', () => {
			link.complete = connection.bytesRead;
		});
		guard.becomeLink(connection, {
			held: () => connection.bytesRead - link.complete,
			isKnown: () => link.isKnown,
		});
		return link;
	};

	const performHandshake = async (
		socket: WebSocket,
		link: {isKnown: boolean},
	) => {
		handshakesInProgress++;
		let channel: Result<MessageChannel, HandshakeFailure>;
		try {
			channel = await openChannel(socket, 'acceptor', options);
		} finally {
			// Otherwise the listener would refuse everyone after as many failures as its limit.
			handshakesInProgress--;
		}

		channel.match(
			(accepted) => {
				link.isKnown = true;
				handler(accepted);
			},
			(failure) => {
				options.onRefused(failure);
			},
		);
	};

	socketServer.on('connection', (socket, request) => {
		track(socket);
		const link = guardLink(socket, request.socket);
		if (handshakesInProgress >= options.handshakeLimit) {
			socket.close(1013, 'too many handshakes');
			options.onRefused('too many handshakes');
			return;
		}

		void runDetached(performHandshake(socket, link), (error) => {
			socket.terminate();
			options.onRefused(String(error));
		});
	});

	return {
		async listen(host, port) {
			return listen(server, host, port, options.onListenerError);
		},
		async connect(address, signal) {
			// Other nodes state the address, and `ws` throws on a port out of range.
			if (!remoteAddressSchema.safeParse(address).success) {
				options.onRefused(`not an address: ${address.slice(0, 100)}`);
				return undefined;
			}

			const socket = new WebSocket(`ws://${address}`, {
				perMessageDeflate: false,
				handshakeTimeout: connectTimeoutMs,
				maxPayload: options.messageLimit,
			});
			track(socket);
			const abort = () => {
				socket.terminate();
			};

			signal.addEventListener('abort', abort);
			const channel = await openChannel(socket, 'opener', options);
			signal.removeEventListener('abort', abort);
			return channel.match(
				(opened) => opened,
				(failure) => {
					options.onRefused(failure);
					return undefined;
				},
			);
		},
		accept(accepted) {
			handler = accepted;
		},
		async close() {
			const closed = server.listening ? once(server, 'close') : undefined;
			socketServer.close();
			server.close();
			server.closeIdleConnections();
			await closeSockets([...sockets], options.clock);
			await closed;
		},
	};
}

/** Closes after the messages that were written have been sent; drops peers that don't read them in time. */
async function closeSockets(sockets: WebSocket[], clock: Clock): Promise<void> {
	const timer = clock.setTimer(closeTimeoutMs, () => {
		for (const socket of sockets) {
			socket.terminate();
		}
	});
	await Promise.all(
		sockets.map(async (socket) => {
			await new Promise((resolve) => {
				socket.once('close', resolve);
				socket.close(1001, 'stopping');
			});
		}),
	);
	timer.cancel();
}

/**
 * Listens and returns the port; rejects with Node's error, such as EADDRINUSE.
 * An error after that, such as EMFILE when a connection is accepted, would end
 * the process without a listener for it.
 */
export async function listen(
	server: Server,
	host: string,
	port: number,
	onError: OnListenerError = () => undefined,
): Promise<number> {
	server.listen(port, host, backlog);
	await once(server, 'listening');
	server.on('error', onError);
	const address = server.address();
	return typeof address === 'object' && address ? address.port : port;
}
