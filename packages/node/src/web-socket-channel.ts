/** A message channel over one WebSocket, from its handshake to its close. */
import {Buffer} from 'node:buffer';
import type {RawData, WebSocket} from 'ws';
import {err, ok, type Result} from 'neverthrow';
import {decodeMessage, encodeMessage, type Message} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';
import type {MessageChannel, PeerIdentity} from './message-channel.js';
import {createMessageQueue, type MessageQueue} from './message-queue.js';
import {
	createHandshake,
	type HandshakeFailure,
	type HandshakeSide,
} from './peer-handshake.js';

/** Dependencies of a channel. */
export type ChannelContext = {
	clock: Clock;
	self: () => PeerIdentity;
	secret: string;
	/** Called when the peer sent an invalid message; its channel is closed. */
	onMalformed: (detail: string) => void;
};

/** Timeout of the handshake in milliseconds; allows many round trips between regions. */
export const handshakeTimeoutMs = 3000;

/**
 * Maximum bytes waiting in the socket; above it nothing more is sent. A peer
 * that stopped reading would otherwise fill the memory of this node. With the
 * limit, the caller learns immediately that its request was not sent.
 */
const sendBufferLimit = 8 * 1024 * 1024;

/**
 * The same for answers. They hold the results of work that has been done, and
 * several large ones may end at the same time.
 */
const answerBufferLimit = 32 * 1024 * 1024;

/** Limits by type of message. Messages without a body that end an exchange are always sent. */
const bufferLimits: {
	[Type in Message['type']]?: (
		message: Extract<Message, {type: Type}>,
	) => number;
} = {
	answer: ({length}) => (length > 0 ? answerBufferLimit : unlimited),
	cancel: () => unlimited,
};

const unlimited = Number.POSITIVE_INFINITY;

/**
 * Performs the handshake and returns the channel, or the reason why there is
 * none. It may be called while the socket is still connecting: the peer's hello
 * can arrive with the same bytes that open the socket, and must find a listener.
 */
export async function openChannel(
	socket: WebSocket,
	side: HandshakeSide,
	context: ChannelContext,
): Promise<Result<MessageChannel, HandshakeFailure>> {
	socket.binaryType = 'nodebuffer';
	const incoming = createMessageQueue<Message>();
	const onMessage = (data: RawData) => {
		const decoded = decodeMessage(toBytes(data));
		if (decoded.isErr()) {
			context.onMalformed(decoded.error);
			rejectPeer(1002, 'malformed message');
			return;
		}

		incoming.push(decoded.value);
	};

	/**
	 * A peer that ignores the close can continue sending until the socket is
	 * dropped, half a minute later. Its messages would fill the memory if they
	 * were queued for a reader that has gone, so nothing is decoded or queued
	 * after a rejection.
	 */
	const rejectPeer = (code: number, reason: string) => {
		socket.off('message', onMessage);
		incoming.end();
		socket.close(code, reason);
	};

	socket.on('message', onMessage);
	socket.on('close', () => {
		incoming.end();
	});
	socket.on('error', () => {
		incoming.end();
	});

	let failure: HandshakeFailure = 'closed';
	const timer = context.clock.setTimer(handshakeTimeoutMs, () => {
		failure = 'timeout';
		socket.terminate();
	});
	const handshake = createHandshake(side, context.self(), context.secret);
	const sendHello = () => {
		send(socket, handshake.hello);
	};

	if (socket.readyState === socket.OPEN) {
		sendHello();
	} else {
		socket.once('open', sendHello);
	}

	const messages = incoming.read()[Symbol.asyncIterator]();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- the handshake is a sequence.
		const next = await messages.next();
		if (next.done) {
			timer.cancel();
			return err(failure);
		}

		const step = handshake.receive(next.value);
		if (step.isErr()) {
			timer.cancel();
			rejectPeer(1008, step.error);
			return err(step.error);
		}

		if (step.value.kind === 'done') {
			timer.cancel();
			return ok(createChannel(socket, step.value.peer, incoming, messages));
		}

		send(socket, step.value.message);
	}
}

function createChannel(
	socket: WebSocket,
	peer: PeerIdentity,
	incoming: MessageQueue<Message>,
	messages: AsyncIterator<Message>,
): MessageChannel {
	return {
		peer,
		send: (message) => send(socket, message),
		receive: () => ({[Symbol.asyncIterator]: () => messages}),
		close(reason) {
			incoming.end();
			socket.close(1000, reason);
		},
	};
}

function send(socket: WebSocket, message: Message): boolean {
	const findLimit = bufferLimits[message.type] as
		((message: Message) => number) | undefined;
	const limit = findLimit?.(message) ?? sendBufferLimit;
	if (socket.readyState !== socket.OPEN || socket.bufferedAmount > limit) {
		return false;
	}

	socket.send(encodeMessage(message));
	return true;
}

function toBytes(data: RawData): Uint8Array {
	if (Array.isArray(data)) {
		return Buffer.concat(data);
	}

	return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}
