/** Takes the links of other nodes: their requests go to the gatekeeper, and changes of state are told to all. */
import {createServer} from 'node:http';
import type {Clock} from '@egretspoke/shared';
import {WebSocketServer} from 'ws';
import type {CancelAttempt, TargetChannel} from './exchange.js';
import {listenOn} from './listening.js';
import {
	createPeerChannel,
	frameLimit,
	type PeerChannel,
} from './peer-channel.js';
import type {PeerMessage} from './peer-message.js';

/** What the listener needs. */
export type PeerListenerOptions = {
	clock: Clock;
	dispatcher: TargetChannel;
	/** What to answer to a hello. */
	initialMessages: () => PeerMessage[];
	/** Messages that aren't about a request. */
	onMessage: (
		message: PeerMessage,
		reply: (message: PeerMessage) => void,
	) => void;
	onMalformed: (detail: string) => void;
};

/** The listener. */
export type PeerListener = {
	/** Listens on `ip:port`; gives the address that it got. */
	listen(address: string): Promise<string>;
	/** Tells every node that has a link to this one. */
	broadcast(message: PeerMessage): void;
	/** How many nodes have a link to this one. */
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
				// Nobody is left to take the outcomes.
				for (const cancel of running.values()) {
					cancel();
				}
			},
		});
		channels.add(channel);
	});

	/** Runs a request for the node at the other end. */
	const runFor = (
		channel: PeerChannel,
		running: Map<number, CancelAttempt>,
		{exchange, request}: Extract<PeerMessage, {kind: 'request'}>,
	) => {
		let isOver = false;
		const cancel = options.dispatcher.send(request, (outcome, load) => {
			isOver = true;
			running.delete(exchange);
			channel.send({kind: 'outcome', exchange, outcome, load});
		});
		if (!isOver) {
			running.set(exchange, cancel);
		}
	};

	const greet = (channel: PeerChannel) => {
		for (const greeting of options.initialMessages()) {
			channel.send(greeting);
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
			runFor(channel, running, message);
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
			greet(channel);
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
