/**
 * This node's link to another one, which it opened itself: requests go out on
 * it and outcomes and states come back. It is opened again whenever it ends.
 *
 * A connection may go silent for good without a reset, while new ones work;
 * all requests on it would wait until their callers' time is over. So silence
 * is probed. A link whose answer is due for a moment is chosen only when there
 * is no other; one that doesn't answer for long gets no new work, while a second
 * connection is tried at once. Requests that may run twice are given back as
 * lost at that moment; the others stay, since their answers may still come.
 */
import type {Clock, Timer} from '@egretspoke/shared';
import {WebSocket} from 'ws';
import type {
	CancelAttempt,
	HandedRequest,
	OutcomeHandler,
	TargetChannel,
} from './exchange.js';
import {
	createPeerChannel,
	frameLimit,
	type PeerChannel,
} from './peer-channel.js';
import type {PeerMessage} from './peer-message.js';

/** What a link needs. */
export type PeerLinkOptions = {
	/** `ip:port`. */
	address: string;
	clock: Clock;
	/** What to say first. */
	hello: () => PeerMessage[];
	/** Messages other than outcomes. */
	onMessage: (message: PeerMessage) => void;
	onMalformed: (detail: string) => void;
	/** It can be used, or no longer. */
	onChange: (isUsable: boolean) => void;
};

/** A link that keeps itself open. */
export type PeerLink = TargetChannel & {
	isUsable(): boolean;
	/** A probe has not been answered for longer than a live link takes. */
	isSilent(): boolean;
	/** Requests without an outcome. */
	outstanding(): number;
	sendMessage(message: PeerMessage): void;
	/** Asks the other end if it has been silent, and gives up on it after too long; to be called in each period. */
	probe(): void;
	/** Tries to connect now instead of after the pause. */
	retryNow(): void;
	close(): void;
};

/** Milliseconds between two calls of `probe`; a link with requests that was silent for half of it is asked. */
export const probeInterval = 200;
/**
 * Milliseconds that a link without requests may be silent before it is asked:
 * most links lead to other data centres, where every byte is paid for.
 */
const idleSilence = 3000;
/** Milliseconds after which an answer to a probe is late: many ways between data centres, and a usual turn of the loop. */
const lateAnswer = 100;
/** Milliseconds for the answer to a probe: the longest way and a slow turn of the loop on the other side. */
const answerLimit = 1000;
/** Milliseconds to open a connection. */
const connectTime = 1000;
/** Milliseconds between two tries, doubled up to the most. */
const firstPause = 100;
const longestPause = 1000;

type Exchange = {
	request: HandedRequest;
	onOutcome: OutcomeHandler;
	channel: PeerChannel;
};

/** Creates a link and starts to open it. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {clock, address} = options;
	const exchanges = new Map<number, Exchange>();
	const channels = new Set<PeerChannel>();
	let current: PeerChannel | undefined;
	let nextExchange = 1;
	let lastHeard = clock.now();
	/** When the probe without an answer was sent. */
	let askedAt: number | undefined;
	let isClosed = false;
	let pause = firstPause;
	let retryTimer: Timer | undefined;
	let isConnecting = false;

	const connect = () => {
		if (isClosed || isConnecting || current) {
			return;
		}

		isConnecting = true;
		retryTimer?.cancel();
		const socket = new WebSocket(`ws://${address}`, {
			perMessageDeflate: false,
			handshakeTimeout: connectTime,
			maxPayload: frameLimit,
			// The peers of a deployment share a private network; masking only guards browsers' proxies.
			generateMask(mask) {
				// All zeros leave the payload as it is.
				mask.fill(0);
			},
		});
		const channel: PeerChannel = createPeerChannel(socket, clock, {
			onOpen() {
				isConnecting = false;
				current = channel;
				lastHeard = clock.now();
				askedAt = undefined;
				pause = firstPause;
				for (const message of options.hello()) {
					channel.send(message);
				}

				options.onChange(true);
			},
			onMessage(message) {
				if (channel === current) {
					lastHeard = clock.now();
					askedAt = undefined;
				}

				receive(message);
			},
			onMalformed: options.onMalformed,
			onClose() {
				channels.delete(channel);
				if (channel === current) {
					current = undefined;
					options.onChange(false);
				} else {
					isConnecting &&= current !== undefined;
				}

				failExchanges(channel, () => true);
				retryLater();
			},
		});
		channels.add(channel);
	};

	const retryLater = () => {
		if (isClosed || current) {
			return;
		}

		isConnecting = false;
		retryTimer?.cancel();
		retryTimer = clock.setTimer(pause, connect);
		pause = Math.min(longestPause, pause * 2);
	};

	const receive = (message: PeerMessage) => {
		if (message.kind === 'outcome') {
			const exchange = exchanges.get(message.exchange);
			exchanges.delete(message.exchange);
			exchange?.onOutcome(message.outcome, message.load);
			return;
		}

		if (message.kind !== 'pong') {
			options.onMessage(message);
		}
	};

	const failExchanges = (
		channel: PeerChannel,
		isConcerned: (exchange: Exchange) => boolean,
	) => {
		for (const [id, exchange] of exchanges) {
			if (exchange.channel === channel && isConcerned(exchange)) {
				exchanges.delete(id);
				exchange.onOutcome({kind: 'lost', reason: 'linkLost'}, undefined);
			}
		}
	};

	const probe = () => {
		const channel = current;
		if (!channel) {
			return;
		}

		const now = clock.now();
		if (askedAt !== undefined && now - askedAt >= answerLimit) {
			giveUpOn(channel);
			return;
		}

		const mostSilence = exchanges.size > 0 ? probeInterval / 2 : idleSilence;
		if (askedAt === undefined && now - lastHeard >= mostSilence) {
			askedAt = now;
			channel.send({kind: 'ping'});
		}
	};

	const giveUpOn = (channel: PeerChannel) => {
		current = undefined;
		options.onChange(false);
		failExchanges(channel, ({request}) => request.isIdempotent);
		if (
			![...exchanges.values()].some((exchange) => exchange.channel === channel)
		) {
			channel.close();
		}

		connect();
	};

	connect();
	return {
		send(request, onOutcome): CancelAttempt {
			const channel = current;
			const exchange = nextExchange++;
			if (!channel?.send({kind: 'request', exchange, request})) {
				onOutcome({kind: 'refused', reason: 'linkDown'}, undefined);
				return () => undefined;
			}

			exchanges.set(exchange, {request, onOutcome, channel});
			return () => {
				if (exchanges.delete(exchange)) {
					channel.send({kind: 'cancel', exchange});
				}
			};
		},
		isUsable: () => current !== undefined,
		isSilent: () => askedAt !== undefined && clock.now() - askedAt > lateAnswer,
		outstanding: () => exchanges.size,
		sendMessage(message) {
			current?.send(message);
		},
		retryNow: connect,
		probe,
		close() {
			isClosed = true;
			retryTimer?.cancel();
			for (const channel of channels) {
				channel.close();
			}
		},
	};
}
