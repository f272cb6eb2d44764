/** Accepts links of other nodes: dispatches their requests to the local target and broadcasts state changes to them. */
import {createServer} from 'node:http';
import {
	guardServer,
	shortRequestLimits,
	type Clock,
	type ConnectionBudget,
} from '@egretspoke/shared';
import {WebSocketServer} from 'ws';
import {listenOn} from '../listening.js';
import type {LoadReceiver} from '../target/load-report.js';
import {createHeldBodyStream} from '../bodies/body-stream.js';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import {unknownSize} from './compact-message.js';
import {
	discardOutcome,
	idleLoad,
	type CancelAttempt,
	type ForwardedRequest,
	type Outcome,
	type RefusalReason,
	type TargetChannel,
	type TargetLoad,
} from './exchange.js';
import {createIncomingBodies, type IncomingBodies} from './incoming-bodies.js';
import {
	createOutgoingStreams,
	type OutgoingStreams,
} from './outgoing-streams.js';
import {
	createPeerChannel,
	frameLimit,
	type PeerChannel,
} from './peer-channel.js';
import type {PeerMessage} from './peer-message.js';
import type {UpdateHandler} from './peer-updates.js';

/** Options of `createPeerListener`. */
export type PeerListenerOptions = {
	clock: Clock;
	budget: MemoryBudget;
	/** Bounds what the connections of all listeners hold. */
	connectionBudget: ConnectionBudget;
	dispatcher: TargetChannel;
	/** Returns the messages to send in reply to a hello. */
	initialMessages: () => PeerMessage[];
	/** Receives messages that do not concern a request. */
	onMessage: UpdateHandler;
	onMalformed: (detail: string) => void;
	/** Called before a link is closed whose peer does not read; receives the unread bytes. */
	onUnread: (bytes: number) => void;
	/** Called after a request of another node was dispatched. */
	onRequest: () => void;
	/** Called when the open listener fails, such as at accepting a connection. */
	onError?: (error: Error) => void;
};

/** The listener for links of other nodes. */
export type PeerListener = {
	/** The nodes that are linked to this one. */
	links: ReadonlySet<LoadReceiver>;
	/** Listens on `ip:port`; resolves with the bound address. */
	listen(address: string): Promise<string>;
	/** Sends a message to every node that is linked to this one. */
	broadcast(message: PeerMessage): void;
	/** Sends a message on each link on which nothing was sent for the duration, in milliseconds. */
	sendToQuiet(message: PeerMessage, duration: number): void;
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
	/** The node at the other end; empty until its hello. */
	node: string;
	/** The requests without an outcome, by exchange. */
	running: Map<number, CancelAttempt>;
	/** The request bodies that are arriving. */
	bodies: IncomingBodies;
	/** The response bodies that are being sent. */
	streams: OutgoingStreams;
};

/** Size in bytes up to which an answer is sent at once, however slowly its peer reads. */
const pacedBytes = 16 * 1024;

/** Maximum number of fragments of a message; nodes send each message as one. */
const maxFragments = 16;
/** Maximum number of parts of a frame that the system delivers; a full frame has some 6,000 on a usual network. */
const maxBufferedChunks = 16_384;

/** Creates a listener that is not listening yet. */
export function createPeerListener(options: PeerListenerOptions): PeerListener {
	const server = createServer((_request, response) => {
		response.writeHead(426, {connection: 'close'}).end();
	});
	const socketServer = new WebSocketServer({
		server,
		maxPayload: frameLimit,
		maxFragments,
		maxBufferedChunks,
		perMessageDeflate: false,
	});
	const guard = guardServer(server, {
		budget: options.connectionBudget,
		limits: shortRequestLimits,
	});
	const links = new Set<IncomingLink>();
	let isEnding = false;
	/** Called after `end` when a link has closed. */
	let onClosed = () => undefined as void;

	socketServer.on('error', (error) => {
		// `listen` reports the errors before.
		if (server.listening) {
			options.onError?.(error);
		}
	});
	socketServer.on('connection', (socket, request) => {
		const channel = createPeerChannel(socket, request.socket, options, {
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

				link.bodies.close();
				link.streams.close();

				onClosed();
			},
		});
		const link: IncomingLink = {
			channel,
			node: '',
			running: new Map(),
			bodies: createIncomingBodies({
				...options,
				channel,
				onRequest(exchange, arrived) {
					dispatch(link, exchange, arrived);
				},
				onRefused(exchange, reason) {
					refuse(link, exchange, reason);
				},
			}),
			streams: createOutgoingStreams(channel),
			load: idleLoad,
			report(load) {
				channel.send({kind: 'load', load});
			},
		};
		links.add(link);
		guard.becomeLink(request.socket, {
			held: channel.incomplete,
			isKnown: () => link.node !== '',
		});
	});

	const refuse = (
		link: IncomingLink,
		exchange: number,
		reason: RefusalReason,
	) => {
		const outcome: Outcome = {kind: 'refused', reason};
		link.channel.send({kind: 'outcome', exchange, outcome, load: undefined});
	};

	/** Whether there is memory for a request and its answer; counts the body that has arrived with it. */
	const holdRequest = (request: ForwardedRequest): boolean => {
		if (options.budget.isFull('answers')) {
			request.bodyHold?.release();
			return false;
		}

		if (request.body && !request.bodyHold) {
			request.bodyHold = options.budget.hold(request.body.byteLength);
			return request.bodyHold !== undefined;
		}

		return true;
	};

	/** Dispatches a request of the node at the other end. */
	const dispatch = (
		link: IncomingLink,
		exchange: number,
		request: ForwardedRequest,
	) => {
		if (!holdRequest(request)) {
			refuse(link, exchange, 'noRoom');
			return;
		}

		let hasOutcome = false;
		const cancel = options.dispatcher.send(request, (outcome, load) => {
			hasOutcome = true;
			link.running.delete(exchange);
			request.bodyHold?.release();
			sendOutcome(link, exchange, outcome, load);
		});
		if (!hasOutcome) {
			link.running.set(exchange, () => {
				request.bodyHold?.release();
				cancel();
			});
		}

		options.onRequest();
	};

	/** Makes an answer a stream if its peer reads too slowly for it to be sent at once. */
	const paceAnswer = ({channel}: IncomingLink, outcome: Outcome): Outcome => {
		const mustWait =
			outcome.kind === 'answered' &&
			outcome.stream === undefined &&
			outcome.body.byteLength > pacedBytes &&
			!channel.isWritable();
		return mustWait
			? {
					...outcome,
					body: new Uint8Array(),
					stream: createHeldBodyStream(outcome.body, options.budget),
				}
			: outcome;
	};

	const sendOutcome = (
		link: IncomingLink,
		exchange: number,
		unpaced: Outcome,
		load: TargetLoad | undefined,
	) => {
		link.load = load ?? link.load;
		const outcome = paceAnswer(link, unpaced);
		const stream = outcome.kind === 'answered' ? outcome.stream : undefined;
		const isSent = link.channel.send({
			kind: 'outcome',
			exchange,
			outcome,
			load,
			streamSize: stream && (stream.size ?? unknownSize),
		});
		if (!isSent) {
			discardOutcome(outcome);
		} else if (stream) {
			link.streams.send(exchange, stream);
		}
	};

	const send = (link: IncomingLink, message: PeerMessage) => {
		if (message.kind === 'state') {
			link.load = message.load;
		}

		link.channel.send(message);
	};

	/** The messages about exchanges; the others are for the node. */
	const handlers: {
		[Kind in PeerMessage['kind']]?: (
			link: IncomingLink,
			message: Extract<PeerMessage, {kind: Kind}>,
		) => void;
	} = {
		request(link, {exchange, request}) {
			if (link.channel.isCongested()) {
				refuse(link, exchange, 'linkDown');
			} else {
				dispatch(link, exchange, request);
			}
		},
		largeRequest(link, message) {
			if (link.channel.isCongested()) {
				refuse(link, message.exchange, 'linkDown');
			} else {
				link.bodies.add(message);
			}
		},
		part(link, part) {
			link.bodies.receive(part);
		},
		credit(link, {exchange, bytes}) {
			link.streams.grant(exchange, bytes);
		},
		cancel(link, {exchange}) {
			link.running.get(exchange)?.();
			link.running.delete(exchange);
			link.bodies.cancel(exchange);
			link.streams.cancel(exchange);
		},
		ping({channel}) {
			channel.send({kind: 'pong'});
		},
	};

	const receive = (link: IncomingLink, message: PeerMessage, delay: number) => {
		// The link has ended: the outcome of a request could not be sent, and the peer was told that it doesn't run.
		if (isEnding) {
			return;
		}

		if (message.kind === 'request' || message.kind === 'largeRequest') {
			message.request.timeLeft -= delay;
		}

		const handle = handlers[message.kind];
		if (handle) {
			handle(link, message as never);
			return;
		}

		if (message.kind === 'hello') {
			link.node = message.member.node;
			for (const initial of options.initialMessages()) {
				send(link, initial);
			}
		}

		options.onMessage(message, link.channel.send, link.node);
	};

	const countOpen = (): UnendedLinks => {
		const open = {links: links.size, running: 0, unsent: 0};
		for (const {running, bodies, streams, channel} of links) {
			open.running += running.size + bodies.size();
			open.unsent += channel.hasUnsentOutcome() || streams.size() > 0 ? 1 : 0;
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
		sendToQuiet(message, duration) {
			const now = options.clock.now();
			for (const link of links) {
				if (now - link.channel.sentAt() >= duration) {
					send(link, message);
				}
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
