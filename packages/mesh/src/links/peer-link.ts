/**
 * A link that this node opens to another one: it sends requests and receives
 * outcomes and states. It reconnects whenever the connection ends.
 *
 * A connection may stop delivering without a reset while new ones work, and all
 * requests on it would wait until their deadlines; silent links are therefore
 * probed.
 */
import type {Clock, Timer} from '@egretspoke/shared';
import {WebSocket} from 'ws';
import {
	largeBody,
	type MemoryBudget,
} from '../decisions/memory/memory-budget.js';
import {createBodySender, type BodySender} from './body-sender.js';
import type {
	CancelAttempt,
	ForwardedRequest,
	Outcome,
	OutcomeHandler,
	TargetChannel,
} from './exchange.js';
import {
	createPeerChannel,
	frameLimit,
	type PeerChannel,
} from './peer-channel.js';
import type {PeerMessage} from './peer-message.js';
import {createRemoteStreams} from './remote-streams.js';

/** Options of `createPeerLink`. */
export type PeerLinkOptions = {
	/** `ip:port`. */
	address: string;
	clock: Clock;
	budget: MemoryBudget;
	/** Returns the messages to send first on each connection. */
	hello: () => PeerMessage[];
	/** Receives messages other than outcomes. */
	onMessage: (message: PeerMessage) => void;
	onMalformed: (detail: string) => void;
	/** Called before a connection is closed whose peer does not read; receives the unread bytes. */
	onUnread: (bytes: number) => void;
	/** Called when requests end with their connection. */
	onLost: (loss: LinkLoss) => void;
	/** Called when the link becomes usable or unusable. */
	onChange: (isUsable: boolean) => void;
};

/** The requests that ended without an outcome of the peer. */
export type LinkLoss = {
	/** The connection closed, was abandoned because the peer is silent, or the peer has stopped. */
	cause: 'closed' | 'silent' | 'stopped';
	/** Requests that may have run. */
	lost: number;
	/** Requests that the peer had not received. */
	refused: number;
};

/** A link that reconnects automatically. */
export type PeerLink = TargetChannel & {
	isUsable(): boolean;
	/**
	 * Whether the answer to a probe is late. The link is then chosen only if
	 * there is no other.
	 */
	isSilent(): boolean;
	/** Milliseconds since the last message of the peer. */
	silence(): number;
	/** Number of requests without an outcome. */
	outstanding(): number;
	/** Whether no outcome and no part of a response is still expected. */
	isUnused(): boolean;
	/** Returns false if the link is unusable; the message is then dropped. */
	sendMessage(message: PeerMessage): boolean;
	/**
	 * Sends a probe if the peer has been silent, and abandons the connection
	 * after an answer timeout in which nothing arrived; called every `probeInterval`. Returns whether it
	 * probed a link without pending requests.
	 *
	 * @param idleTimeout - Milliseconds without a message after which such a link is probed.
	 */
	probe(idleTimeout?: number): boolean;
	/** Connects now instead of after the backoff. */
	retryNow(): void;
	/**
	 * Sends no further requests and reconnects no more; each connection closes
	 * once every request on it has an outcome.
	 *
	 * @param lastMessage - Sent on the current connection before it is closed.
	 */
	retire(lastMessage?: PeerMessage): void;
	/** Closes the connections at once; requests without an outcome are lost. */
	close(): void;
};

/** Milliseconds between two calls of `probe`; a link is probed after half of it without a message while a request is pending. */
export const probeInterval = 200;
/**
 * Milliseconds without a message after which a link without pending requests is
 * probed: most links lead to other data centres, and that traffic is billed.
 */
export const idleProbeTimeout = 3000;
/** Milliseconds after which the answer to a probe is late: many times the latency between data centres, plus a usual turn of the event loop. */
const lateAnswer = 100;
/** Milliseconds to wait for the answer to a probe: the highest latency plus a slow turn of the peer's event loop. */
const answerTimeout = 1000;
/** Milliseconds for which a connection stays open after its last message, so that the peer can read it. */
const lastMessageTimeout = 1000;
/** Maximum milliseconds to open a connection. */
const connectTimeout = 1000;
/** Milliseconds between two connection attempts; doubled after each failure, up to the maximum. */
const initialBackoff = 100;
const maxBackoff = 1000;

type Exchange = {
	request: ForwardedRequest;
	onOutcome: OutcomeHandler;
	channel: PeerChannel;
	/** Sends the body, if it is large, once the peer has memory for it. */
	bodySender: BodySender | undefined;
};

/** Whether the peer can't have received all of a request. */
function isIncomplete({bodySender}: Exchange): boolean {
	return bodySender?.isDone() === false;
}

const lost: Outcome = {kind: 'lost', reason: 'linkLost'};

const refusedByLink: Outcome = {kind: 'refused', reason: 'linkDown'};

/** What follows for the requests that end with their connection. */
const outcomes: Record<LinkLoss['cause'], Outcome> = {
	closed: lost,
	silent: lost,
	// The peer stated that it had not received them.
	stopped: {kind: 'refused', reason: 'nodeStopping'},
};

/** Creates a link and starts to open it. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {clock, address, budget} = options;
	const exchanges = new Map<number, Exchange>();
	const streams = createRemoteStreams(budget, (channel) => {
		closeIfUnused(channel);
	});
	const channels = new Set<PeerChannel>();
	let current: PeerChannel | undefined;
	let nextExchange = 1;
	let lastReceivedAt = clock.now();
	/** Time since which requests have been pending without interruption. */
	let pendingSince = lastReceivedAt;
	/** Send time of the unanswered probe. */
	let probedAt: number | undefined;
	/** Bytes received until then. */
	let receivedAtProbe = 0;
	let isClosed = false;
	/** Whether a failure to create a connection was reported. */
	let hasFailed = false;
	let pause = initialBackoff;
	let retryTimer: Timer | undefined;
	/** The connection that is being opened. */
	let opening: PeerChannel | undefined;

	/** Returns undefined for an address that can't be connected to; it is reported once. */
	const createSocket = (): WebSocket | undefined => {
		try {
			return new WebSocket(`ws://${address}`, {
				perMessageDeflate: false,
				handshakeTimeout: connectTimeout,
				maxPayload: frameLimit,
			});
		} catch (error) {
			if (!hasFailed) {
				hasFailed = true;
				options.onMalformed(
					`${address}: ${error instanceof Error ? error.message : String(error)}`,
				);
			}

			return undefined;
		}
	};

	const connect = () => {
		if (isClosed || (opening ?? current)) {
			return;
		}

		retryTimer?.cancel();
		const socket = createSocket();
		if (!socket) {
			scheduleRetry();
			return;
		}

		const channel: PeerChannel = createPeerChannel(socket, undefined, options, {
			onOpen() {
				opening = undefined;
				current = channel;
				lastReceivedAt = clock.now();
				probedAt = undefined;
				pause = initialBackoff;
				for (const message of options.hello()) {
					channel.send(message);
				}

				options.onChange(true);
			},
			onMessage(message) {
				if (channel === current) {
					lastReceivedAt = clock.now();
					probedAt = undefined;
				}

				receive(message, channel);
			},
			onMalformed: options.onMalformed,
			onUnread: options.onUnread,
			onClose() {
				channels.delete(channel);
				opening = channel === opening ? undefined : opening;
				leaveChannel(channel);
				endExchanges(channel, 'closed', () => true);
				streams.cut(channel);
				scheduleRetry();
			},
		});
		opening = channel;
		channels.add(channel);
	};

	const scheduleRetry = () => {
		if (isClosed || (opening ?? current)) {
			return;
		}

		retryTimer?.cancel();
		retryTimer = clock.setTimer(pause, connect);
		pause = Math.min(maxBackoff, pause * 2);
	};

	/** Completes an exchange; the body of its response may follow in parts. */
	const receiveOutcome = (
		channel: PeerChannel,
		{
			exchange: id,
			outcome,
			load,
			streamSize,
		}: Extract<PeerMessage, {kind: 'outcome'}>,
	) => {
		const exchange = exchanges.get(id);
		exchanges.delete(id);
		exchange?.bodySender?.cancel();
		if (outcome.kind !== 'answered' || streamSize === undefined) {
			exchange?.onOutcome(outcome, load);
		} else if (exchange) {
			const stream = streams.open(channel, id, streamSize);
			exchange.onOutcome({...outcome, stream}, load);
		} else {
			channel.send({kind: 'cancel', exchange: id});
		}

		closeIfUnused(channel);
	};

	/** The messages about exchanges; the others are for the node. */
	const handlers: {
		[Kind in PeerMessage['kind']]?: (
			channel: PeerChannel,
			message: Extract<PeerMessage, {kind: Kind}>,
		) => void;
	} = {
		outcome: receiveOutcome,
		part(_channel, part) {
			streams.receive(part);
		},
		credit(_channel, {exchange, bytes}) {
			exchanges.get(exchange)?.bodySender?.grant(bytes);
		},
		closing(channel, message) {
			leaveChannel(channel);
			const running = new Set(message.running);
			endExchanges(channel, 'stopped', (id) => !running.has(id));
		},
		pong: () => undefined,
	};

	const receive = (message: PeerMessage, channel: PeerChannel) => {
		const handle = handlers[message.kind];
		if (handle) {
			handle(channel, message as never);
		} else {
			options.onMessage(message);
		}
	};

	/** Ends requests on the channel with the outcome that the cause implies. */
	const endExchanges = (
		channel: PeerChannel,
		cause: LinkLoss['cause'],
		isAffected: (id: number, exchange: Exchange) => boolean,
	) => {
		const loss = {cause, lost: 0, refused: 0};
		for (const [id, exchange] of exchanges) {
			if (exchange.channel === channel && isAffected(id, exchange)) {
				const outcome = isIncomplete(exchange)
					? refusedByLink
					: outcomes[cause];
				loss[outcome.kind === 'lost' ? 'lost' : 'refused']++;
				exchanges.delete(id);
				exchange.bodySender?.cancel();
				exchange.onOutcome(outcome, undefined);
			}
		}

		if (loss.lost + loss.refused > 0) {
			options.onLost(loss);
		}
	};

	/** Closes a connection that gets no further requests once the last one on it has ended. */
	const closeIfUnused = (channel: PeerChannel) => {
		if (channel === current && !isClosed) {
			return;
		}

		for (const exchange of exchanges.values()) {
			if (exchange.channel === channel) {
				return;
			}
		}

		if (!streams.has(channel)) {
			channel.close();
		}
	};

	/** Closes a connection once the peer has had time to read what was sent on it. */
	const closeAfterRead = (channel: PeerChannel) => {
		channel.end();
		clock.setTimer(lastMessageTimeout, () => {
			closeIfUnused(channel);
		});
	};

	/** Sends no further requests on the channel. */
	const leaveChannel = (channel: PeerChannel) => {
		if (channel === current) {
			current = undefined;
			options.onChange(false);
		}
	};

	const probe = (idleTimeout = idleProbeTimeout): boolean => {
		const channel = current;
		if (!channel) {
			return false;
		}

		const now = clock.now();
		if (probedAt !== undefined) {
			if (now - probedAt >= answerTimeout) {
				// After a stall, timers run before what has arrived is read.
				setImmediate(abandonIfSilent, channel, probedAt);
			}

			return false;
		}

		// The silence before a request says nothing about its answer: nearly every
		// request on a link with few of them would cause a probe, and each probe
		// wakes up both nodes.
		const isIdle = exchanges.size === 0;
		const isDue = isIdle
			? now - lastReceivedAt >= idleTimeout
			: now - Math.max(lastReceivedAt, pendingSince) >= probeInterval / 2;
		if (isDue) {
			probedAt = now;
			receivedAtProbe = channel.received();
			channel.send({kind: 'ping'});
		}

		return isDue && isIdle;
	};

	const abandonIfSilent = (channel: PeerChannel, since: number) => {
		if (channel !== current || probedAt !== since) {
			return;
		}

		// The answer to the probe may be behind a large message that is still arriving.
		const received = channel.received();
		if (received > receivedAtProbe) {
			probedAt = clock.now();
			receivedAtProbe = received;
		} else {
			abandon(channel);
		}
	};

	/**
	 * Opens a second connection at once; the silent one gets no new requests.
	 * Its idempotent requests count as lost; the others stay pending, because
	 * their answers may still arrive.
	 */
	const abandon = (channel: PeerChannel) => {
		leaveChannel(channel);
		endExchanges(channel, 'silent', (_id, {request}) => request.isIdempotent);
		closeIfUnused(channel);
		connect();
	};

	connect();
	return {
		send(request, onOutcome): CancelAttempt {
			const channel = current;
			const exchange = nextExchange++;
			const bodySize = request.body?.byteLength ?? 0;
			const isLarge = bodySize > largeBody;
			const message: PeerMessage = isLarge
				? {kind: 'largeRequest', exchange, request, bodySize}
				: {kind: 'request', exchange, request};
			if (isClosed || !channel?.send(message)) {
				onOutcome(refusedByLink, undefined);
				return () => undefined;
			}

			if (exchanges.size === 0) {
				pendingSince = clock.now();
			}

			let bodySender: BodySender | undefined;
			if (isLarge) {
				bodySender = createBodySender(channel, exchange, 0);
				bodySender.push(request.body!);
				bodySender.end();
			}

			exchanges.set(exchange, {request, onOutcome, channel, bodySender});
			return () => {
				if (exchanges.delete(exchange)) {
					bodySender?.cancel();
					channel.send({kind: 'cancel', exchange});
					closeIfUnused(channel);
				}
			};
		},
		isUsable: () => current !== undefined,
		isSilent: () =>
			probedAt !== undefined && clock.now() - probedAt > lateAnswer,
		silence: () => clock.now() - lastReceivedAt,
		outstanding: () => exchanges.size,
		isUnused: () => exchanges.size + streams.size() === 0,
		sendMessage: (message) => current?.send(message) ?? false,
		retryNow: connect,
		probe,
		retire(lastMessage) {
			isClosed = true;
			retryTimer?.cancel();
			const hasLastMessage = lastMessage && current?.send(lastMessage);
			for (const channel of channels) {
				if (hasLastMessage && channel === current && exchanges.size === 0) {
					closeAfterRead(channel);
				} else {
					closeIfUnused(channel);
				}
			}
		},
		close() {
			isClosed = true;
			retryTimer?.cancel();
			for (const channel of channels) {
				channel.close();
			}
		},
	};
}
