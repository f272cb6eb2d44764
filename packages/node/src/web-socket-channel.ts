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

/** What a channel needs besides its socket. */
export type ChannelContext = {
	clock: Clock;
	self: () => PeerIdentity;
	secret: string;
	/** Called when the peer sent what is no message; its channel is closed. */
	onMalformed: (detail: string) => void;
};

/** Milliseconds for both sides to finish the handshake: many round trips between regions. */
export const handshakeTimeoutMs = 3000;

/**
 * Bytes waiting in the socket above which nothing more is sent. A peer that
 * stopped reading would otherwise fill this node's memory; here the caller
 * learns at once that its request was not sent.
 */
const sendBufferLimit = 8 * 1024 * 1024;

/**
 * Shakes hands and gives the channel, or the reason why there is none. It may
 * be called while the socket still connects: the peer's hello can come with
 * the very bytes that open it, and must find a listener.
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
	 * A stranger who ignores the close can go on sending until the socket gives
	 * it up, half a minute later. Kept for a reader that has gone, its messages
	 * would fill the memory; here nothing is decoded or kept after a refusal.
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
	if (
		socket.readyState !== socket.OPEN ||
		socket.bufferedAmount > sendBufferLimit
	) {
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
