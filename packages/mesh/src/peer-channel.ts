/** One WebSocket between two nodes: frames out once a turn, messages in one by one. */
import process from 'node:process';
import type {Clock} from '@egretspoke/shared';
import type {RawData, WebSocket} from 'ws';
import {createTransitDelay} from './decisions/transit-delay.js';
import {decodeFrame, encodeFrame, type PeerMessage} from './peer-message.js';

/** A connection that carries messages. */
export type PeerChannel = {
	/** Queues a message for the end of this turn; false when the peer doesn't read or the socket is closed. */
	send(message: PeerMessage): boolean;
	/** Ends the connection at once. */
	close(): void;
	isOpen(): boolean;
};

/** What happens on a channel. */
export type PeerChannelHandlers = {
	onOpen(): void;
	/** A message, and the milliseconds that it was held up on its way. */
	onMessage(message: PeerMessage, delay: number): void;
	onMalformed(detail: string): void;
	onClose(): void;
};

/**
 * Bytes that wait for a peer above which nothing more is queued. A peer that
 * stopped reading would otherwise fill this node's memory.
 */
const bufferLimit = 16 * 1024 * 1024;
/** The largest frame; a turn's worth of bodies. */
export const frameLimit = 256 * 1024 * 1024;

/** Makes a channel of a WebSocket that is open or still connects. */
export function createPeerChannel(
	socket: WebSocket,
	clock: Clock,
	handlers: PeerChannelHandlers,
): PeerChannel {
	const transit = createTransitDelay();
	let queue: PeerMessage[] = [];
	let isClosed = false;
	socket.binaryType = 'nodebuffer';

	const flush = () => {
		const messages = queue;
		queue = [];
		if (socket.readyState === socket.OPEN && messages.length > 0) {
			socket.send(encodeFrame({sentAt: clock.now(), messages}));
		}
	};

	const finish = () => {
		if (!isClosed) {
			isClosed = true;
			handlers.onClose();
		}
	};

	socket.on('open', () => {
		handlers.onOpen();
	});
	socket.on('message', (data: RawData) => {
		const frame = decodeFrame(data as Uint8Array);
		if (frame.isErr()) {
			handlers.onMalformed(frame.error);
			socket.terminate();
			return;
		}

		const delay = transit.measure(frame.value.sentAt, clock.now());
		for (const message of frame.value.messages) {
			handlers.onMessage(message, delay);
		}
	});
	socket.on('close', finish);
	// A close follows each error; the reason is the peer's or the network's.
	socket.on('error', (error) => {
		if (socket.readyState === socket.OPEN) {
			handlers.onMalformed(error.message);
		}
	});

	return {
		send(message) {
			if (
				isClosed ||
				socket.readyState !== socket.OPEN ||
				socket.bufferedAmount > bufferLimit
			) {
				return false;
			}

			if (queue.length === 0) {
				// Not `setImmediate`, which has the loop ask the system once more for each frame.
				process.nextTick(flush);
			}

			queue.push(message);
			return true;
		},
		close() {
			socket.terminate();
			finish();
		},
		isOpen: () => socket.readyState === socket.OPEN,
	};
}
