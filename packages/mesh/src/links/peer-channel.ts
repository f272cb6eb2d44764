/** One WebSocket between two nodes: sends one frame per event loop turn, and passes received messages on one by one. */
import type {Socket} from 'node:net';
import process from 'node:process';
import type {Clock} from '@egretspoke/shared';
import type {RawData, WebSocket} from 'ws';
import {createTransitDelay} from '../decisions/routing/transit-delay.js';
import {decodeFrame, encodeFrame, type PeerMessage} from './peer-message.js';
import {addFrameHeader, maxHeaderLength} from './socket-frame.js';

/** A connection that carries messages. */
export type PeerChannel = {
	/** Queues a message for the end of this turn; returns false if the peer does not read or the socket is closed. */
	send(message: PeerMessage): boolean;
	/** Whether an outcome was sent and the system has not taken all of it yet. */
	hasUnsentOutcome(): boolean;
	/** Ends the connection after all that was sent; it closes once the peer has read that. */
	end(): void;
	/** Closes the connection at once; what was not sent yet is lost. */
	close(): void;
	isOpen(): boolean;
};

/** Event handlers of a channel. */
export type PeerChannelHandlers = {
	onOpen(): void;
	/** Receives a message and its estimated transit delay in milliseconds. */
	onMessage(message: PeerMessage, delay: number): void;
	onMalformed(detail: string): void;
	onClose(): void;
};

/**
 * Buffered bytes above which no more messages are queued. A peer that stopped
 * reading would otherwise fill this node's memory.
 */
const bufferLimit = 16 * 1024 * 1024;
/** Maximum size of a frame in bytes; a frame holds all bodies of one event loop turn. */
export const frameLimit = 256 * 1024 * 1024;

/**
 * Creates a channel over a WebSocket.
 *
 * @param connection - The connection of an accepted WebSocket; undefined for one that this node opens.
 */
export function createPeerChannel(
	socket: WebSocket,
	connection: Socket | undefined,
	clock: Clock,
	handlers: PeerChannelHandlers,
): PeerChannel {
	const transit = createTransitDelay();
	const isClient = connection === undefined;
	let queue: PeerMessage[] = [];
	let hasQueuedOutcome = false;
	/** Bytes of all frames, and of those up to the last one with an outcome. */
	let written = 0;
	let writtenOutcomes = 0;
	let isEnding = false;
	let isClosed = false;
	socket.binaryType = 'nodebuffer';

	const flush = () => {
		const messages = queue;
		queue = [];
		if (socket.readyState === socket.OPEN && messages.length > 0) {
			const frame = addFrameHeader(
				encodeFrame({sentAt: clock.now(), messages}, maxHeaderLength),
				isClient,
			);
			connection?.write(frame);
			written += frame.byteLength;
			if (hasQueuedOutcome) {
				writtenOutcomes = written;
			}
		}

		hasQueuedOutcome = false;
	};

	const finish = () => {
		if (!isClosed) {
			isClosed = true;
			handlers.onClose();
		}
	};

	socket.on('upgrade', (response) => {
		connection = response.socket;
	});
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
	// Each error is followed by a close; its cause is the peer or the network.
	socket.on('error', (error) => {
		if (socket.readyState === socket.OPEN) {
			handlers.onMalformed(error.message);
		}
	});

	return {
		send(message) {
			if (
				isClosed ||
				isEnding ||
				socket.readyState !== socket.OPEN ||
				socket.bufferedAmount > bufferLimit
			) {
				return false;
			}

			if (queue.length === 0) {
				// Not `setImmediate`, which costs the event loop one more system call for each frame.
				process.nextTick(flush);
			}

			hasQueuedOutcome ||= message.kind === 'outcome';
			queue.push(message);
			return true;
		},
		hasUnsentOutcome: () =>
			!isClosed &&
			(hasQueuedOutcome ||
				written - (connection?.writableLength ?? 0) < writtenOutcomes),
		end() {
			flush();
			isEnding = true;
			connection?.end();
		},
		close() {
			socket.terminate();
			finish();
		},
		isOpen: () => socket.readyState === socket.OPEN,
	};
}
