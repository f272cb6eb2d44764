/** Accepts links of other nodes: dispatches their requests to the local target and broadcasts state changes to them. */
import {createServer} from 'node:http';
import type {Clock} from '@egretspoke/shared';
import {WebSocketServer} from 'ws';
import {listenOn} from '../listening.js';
import type {LoadReceiver} from '../target/load-report.js';
import {idleLoad, type CancelAttempt, type TargetChannel} from './exchange.js';
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
	/** Called before a link is closed whose peer does not read; receives the unread bytes. */
	onUnread: (bytes: number) => void;
	/** Called after a request of another node was dispatched. */
	onRequest: () => void;
};

/** The listener for links of other nodes. */
export type PeerListener = {
	/** The nodes that are linked to this one. */
	links: ReadonlySet<LoadReceiver>;
	/** Listens on `ip:port`; resolves with the bound address. */
	listen(address: string): Promise<string>;
	/** Sends a message to every node that is linked to this one. */
	broadcast(message: PeerMessage): void;
	/** Number of requests of other nodes without an outcome, and of links with an outcome that is not sent yet. */
	pending(): number;
	/**
	 * Ends all links and runs no further request; resolves when each peer has read
	 * what was sent to it, or after the timeout, with what is left. Peers that were
	 * sent large outcomes have until the limit: what the system still holds of them
	 * is lost when this process ends. Both are in milliseconds.
	 */
	end(timeout: number, limit: number): Promise<UnendedLinks>;
	close(): void;
};

/** What is left when the links have not ended in time. */
export type UnendedLinks = {
	/** Number of links whose peers have not confirmed that they read everything. */
	links: number;
	/** Number of requests of other nodes without an outcome. */
	running: number;
	/** Number of links with an outcome that is not sent yet. */
	unsent: number;
};

/** A link of another node. */
type IncomingLink = LoadReceiver & {
	channel: PeerChannel;
	/** The requests without an outcome, by exchange. */
	running: Map<number, CancelAttempt>;
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
	const links = new Set<IncomingLink>();
	let isEnding = false;
	/** Called after `end` when a link has closed. */
	let onClosed = () => undefined as void;

	socketServer.on('connection', (socket, request) => {
		const channel = createPeerChannel(socket, request.socket, options.clock, {
			onOpen: () => undefined,
			onMessage(message, delay) {
				receive(link, message, delay);
			},
			onMalformed: options.onMalformed,
			onUnread: options.onUnread,
			onClose() {
				links.delete(link);
				// The outcomes can no longer be delivered.
				for (const cancel of link.running.values()) {
					cancel();
				}

				onClosed();
			},
		});
		const link: IncomingLink = {
			channel,
			running: new Map(),
			load: idleLoad,
			report(load) {
				channel.send({kind: 'load', load});
			},
		};
		links.add(link);
	});

	/** Dispatches a request of the node at the other end. */
	const dispatch = (
		link: IncomingLink,
		{exchange, request}: Extract<PeerMessage, {kind: 'request'}>,
	) => {
		if (link.channel.isCongested()) {
			link.channel.send({
				kind: 'outcome',
				exchange,
				outcome: {kind: 'refused', reason: 'linkDown'},
				load: undefined,
			});
			return;
		}

		let hasOutcome = false;
		const cancel = options.dispatcher.send(request, (outcome, load) => {
			hasOutcome = true;
			link.running.delete(exchange);
			link.load = load ?? link.load;
			link.channel.send({kind: 'outcome', exchange, outcome, load});
		});
		if (!hasOutcome) {
			link.running.set(exchange, cancel);
		}

		options.onRequest();
	};

	const send = (link: IncomingLink, message: PeerMessage) => {
		if (message.kind === 'state') {
			link.load = message.load;
		}

		link.channel.send(message);
	};

	const receive = (link: IncomingLink, message: PeerMessage, delay: number) => {
		const {channel, running} = link;
		// The link has ended: the outcome of a request could not be sent, and the peer was told that it doesn't run.
		if (isEnding) {
			return;
		}

		if (message.kind === 'request') {
			message.request.timeLeft -= delay;
			dispatch(link, message);
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
			for (const initial of options.initialMessages()) {
				send(link, initial);
			}
		}

		options.onMessage(message, (reply) => {
			channel.send(reply);
		});
	};

	const countOpen = (): UnendedLinks => {
		const open = {links: links.size, running: 0, unsent: 0};
		for (const {running, channel} of links) {
			open.running += running.size;
			open.unsent += channel.hasUnsentOutcome() ? 1 : 0;
		}

		return open;
	};

	const stopListening = () => {
		socketServer.close();
		server.close();
	};

	return {
		listen: async (address) => listenOn(server, address),
		broadcast(message) {
			for (const link of links) {
				send(link, message);
			}
		},
		links,
		pending() {
			const {running, unsent} = countOpen();
			return running + unsent;
		},
		async end(timeout, limit) {
			const {clock} = options;
			isEnding = true;
			stopListening();
			for (const {channel, running} of links) {
				channel.send({kind: 'closing', running: [...running.keys()]});
				channel.end();
			}

			await new Promise<void>((resolve) => {
				let isTimeOver = false;
				onClosed = () => {
					const isOpen = ({channel}: IncomingLink) =>
						!isTimeOver || channel.hasSentLarge();
					if (![...links].some((link) => isOpen(link))) {
						timer.cancel();
						limitTimer.cancel();
						resolve();
					}
				};

				const timer = clock.setTimer(Math.min(timeout, limit), () => {
					isTimeOver = true;
					onClosed();
				});
				const limitTimer = clock.setTimer(limit, resolve);
				onClosed();
			});
			return countOpen();
		},
		close() {
			for (const {channel} of links) {
				channel.close();
			}

			stopListening();
		},
	};
}
