/** Peer channels over `ws`. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {remoteAddressSchema, type Clock} from '@egretspoke/shared';
import type {MessageChannel, PeerTransport} from './message-channel.js';
import {openChannel, type ChannelContext} from './web-socket-channel.js';

/** Options of the transport. */
export type WebSocketTransportOptions = ChannelContext & {
	/** The largest message in bytes: a body and its headers. */
	messageLimit: number;
	/** Maximum concurrent handshakes of incoming connections; more are refused. */
	handshakeLimit: number;
	/** Called with the reason when a peer was refused. */
	onRefused: (detail: string) => void;
};

/** The transport with its listener. */
export type WebSocketTransport = PeerTransport & {
	listen(host: string, port: number): Promise<number>;
};

/** Timeout in milliseconds for opening a connection; a slower peer counts as unreachable. */
const connectTimeoutMs = 2000;

/** Maximum time in milliseconds for peers to receive what was sent before the close. */
const closeTimeoutMs = 1000;

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
		perMessageDeflate: false,
	});
	const sockets = new Set<WebSocket>();
	let handler: (channel: MessageChannel) => void = () => undefined;
	let handshakesInProgress = 0;

	const track = (socket: WebSocket) => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
	};

	const performHandshake = async (socket: WebSocket) => {
		handshakesInProgress++;
		const channel = await openChannel(socket, 'acceptor', options);
		handshakesInProgress--;
		channel.match(
			(accepted) => {
				handler(accepted);
			},
			(failure) => {
				options.onRefused(failure);
			},
		);
	};

	socketServer.on('connection', (socket) => {
		track(socket);
		if (handshakesInProgress >= options.handshakeLimit) {
			socket.close(1013, 'too many handshakes');
			options.onRefused('too many handshakes');
			return;
		}

		void performHandshake(socket);
	});

	return {
		async listen(host, port) {
			return listen(server, host, port);
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

/** Listens and returns the port; rejects with Node's error, such as EADDRINUSE. */
export async function listen(
	server: Server,
	host: string,
	port: number,
): Promise<number> {
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address();
	return typeof address === 'object' && address ? address.port : port;
}
