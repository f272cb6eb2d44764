/** Accepts links of other nodes: dispatches their requests to the local target and broadcasts state changes to them. */
import {createServer} from 'node:http';
import type {Clock} from '@egretspoke/shared';
import {WebSocketServer} from 'ws';
import {listenOn} from '../listening.js';
import type {CancelAttempt, TargetChannel} from './exchange.js';
import {
	createPeerChannel,
	frameLimit,
	type PeerChannel,
} from './peer-channel.js';
import type {PeerMessage} from './peer-message.js';

/** Options of `createPeerListener`. */
export type PeerListenerOptions = {
	clock: Clock;
	dispatcher: TargetChannel;
	/** Returns the messages to send in reply to a hello. */
	initialMessages: () => PeerMessage[];
	/** Receives messages that do not concern a request. */
	onMessage: (
		message: PeerMessage,
		reply: (message: PeerMessage) => void,
	) => void;
	onMalformed: (detail: string) => void;
};

/** The listener for links of other nodes. */
export type PeerListener = {
	/** Listens on `ip:port`; resolves with the bound address. */
	listen(address: string): Promise<string>;
	/** Sends a message to every node that is linked to this one. */
	broadcast(message: PeerMessage): void;
	/** Number of nodes that are linked to this one. */
	linkCount(): number;
	close(): void;
};

/** Creates a listener that is not listening yet. */
export function createPeerListener(options: PeerListenerOptions): PeerListener {
	const server = createServer((_request, response) => {
		response.writeHead(426, {connection: 'close'}).end();
	});
	const socketServer = new WebSocketServer({
		server,
		maxPayload: frameLimit,
		perMessageDeflate: false,
	});
	const channels = new Set<PeerChannel>();

	socketServer.on('connection', (socket) => {
		const running = new Map<number, CancelAttempt>();
		const channel: PeerChannel = createPeerChannel(socket, options.clock, {
			onOpen: () => undefined,
			onMessage(message, delay) {
				receive(channel, running, message, delay);
			},
			onMalformed: options.onMalformed,
			onClose() {
				channels.delete(channel);
				// The outcomes can no longer be delivered.
				for (const cancel of running.values()) {
					cancel();
				}
			},
		});
		channels.add(channel);
	});

	/** Dispatches a request of the node at the other end. */
	const dispatch = (
		channel: PeerChannel,
		running: Map<number, CancelAttempt>,
		{exchange, request}: Extract<PeerMessage, {kind: 'request'}>,
	) => {
		let hasOutcome = false;
		const cancel = options.dispatcher.send(request, (outcome, load) => {
			hasOutcome = true;
			running.delete(exchange);
			channel.send({kind: 'outcome', exchange, outcome, load});
		});
		if (!hasOutcome) {
			running.set(exchange, cancel);
		}
	};

	const sendInitialMessages = (channel: PeerChannel) => {
		for (const message of options.initialMessages()) {
			channel.send(message);
		}
	};

	const receive = (
		channel: PeerChannel,
		running: Map<number, CancelAttempt>,
		message: PeerMessage,
		delay: number,
	) => {
		if (message.kind === 'request') {
			message.request.timeLeft -= delay;
			dispatch(channel, running, message);
			return;
		}

		if (message.kind === 'cancel') {
			running.get(message.exchange)?.();
			running.delete(message.exchange);
			return;
		}

		if (message.kind === 'ping') {
			channel.send({kind: 'pong'});
			return;
		}

		if (message.kind === 'hello') {
			sendInitialMessages(channel);
		}

		options.onMessage(message, (reply) => {
			channel.send(reply);
		});
	};

	return {
		listen: async (address) => listenOn(server, address),
		broadcast(message) {
			for (const channel of channels) {
				channel.send(message);
			}
		},
		linkCount: () => channels.size,
		close() {
			for (const channel of channels) {
				channel.close();
			}

			socketServer.close();
			server.close();
		},
	};
}
