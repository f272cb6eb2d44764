/** One WebSocket between two nodes: sends one frame per event loop turn, and passes received messages on one by one. */
import type {Socket} from 'node:net';
import process from 'node:process';
import type {Clock} from '@egretspoke/shared';
import type {RawData, WebSocket} from 'ws';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import {createTransitDelay} from '../decisions/routing/transit-delay.js';
import {decodeFrame, encodeFrame, type PeerMessage} from './peer-message.js';
import {addFrameHeader, maxHeaderLength} from './socket-frame.js';

/** A connection that carries messages. */
export type PeerChannel = {
	/** Queues a message for the end of this turn; returns false if the socket is closed, or if so much is buffered that the peer should get no further request. */
	send(message: PeerMessage): boolean;
	/** Whether so much is buffered for the peer that none of its requests should be run. */
	isCongested(): boolean;
	/** Whether little is buffered, so that parts of bodies may be sent. */
	isWritable(): boolean;
	/** Calls back once when little is buffered; not after the connection has closed. */
	whenWritable(callback: () => void): void;
	/** Bytes received so far, also of messages that are not complete. */
	received(): number;
	/** Bytes received since the last complete message. */
	incomplete(): number;
	/** Whether an outcome was sent and the system has not taken all of it yet. */
	hasUnsentOutcome(): boolean;
	/** Whether an outcome was sent of which the system may hold a part for long. */
	hasSentLarge(): boolean;
	/** Time of the last frame that was sent, on the clock. */
	sentAt(): number;
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
	/** The connection is about to be closed, because the peer does not read. */
	onUnread(bytes: number): void;
	onClose(): void;
};

/** Buffered bytes above which no more requests are sent, and no requests of the peer are run. */
const requestLimit = 4 * 1024 * 1024;
/** Buffered bytes below which parts of bodies are sent. */
const partLimit = 256 * 1024;
/** Queued bytes of bodies above which a frame is sent before the end of the turn. */
const fullFrame = 1024 * 1024;
/** Size in bytes up to which a peer's system takes a frame at once; its process can read that in any case. */
const largeFrame = 32 * 1024;
/** Maximum size of a frame in bytes: a full one, and a message with a body that is not sent in parts. */
export const frameLimit = 8 * 1024 * 1024;

/**
 * Creates a channel over a WebSocket.
 *
 * @param connection - The connection of an accepted WebSocket; undefined for one that this node opens.
 */
export function createPeerChannel(
	socket: WebSocket,
	connection: Socket | undefined,
	{clock, budget}: {clock: Clock; budget: MemoryBudget},
	handlers: PeerChannelHandlers,
): PeerChannel {
	const transit = createTransitDelay();
	const isClient = connection === undefined;
	let queue: PeerMessage[] = [];
	/** Bytes of the bodies in the queue. */
	let queuedBytes = 0;
	/** Buffered bytes that the budget counts. */
	let counted = 0;
	let writableCallbacks: Array<() => void> = [];
	let hasQueuedOutcome = false;
	/** Bytes of all frames, and of those up to the last one with an outcome. */
	let written = 0;
	let writtenOutcomes = 0;
	let hasSentLarge = false;
	let sentAt = clock.now();
	/** Bytes that were buffered at the last message. */
	let buffered = 0;
	let isEnding = false;
	let isClosed = false;
	/** Bytes received until the last complete message. */
	let complete = connection?.bytesRead ?? 0;
	socket.binaryType = 'nodebuffer';

	const countBuffered = () => {
		const now = isClosed ? 0 : (connection?.writableLength ?? 0);
		if (now > counted) {
			budget.add('frames', now - counted);
		} else {
			budget.remove('frames', counted - now);
		}

		counted = now;
	};

	const isWritable = () =>
		queuedBytes + (connection?.writableLength ?? 0) < partLimit;

	const onDrain = () => {
		countBuffered();
		const callbacks = writableCallbacks;
		writableCallbacks = [];
		for (const callback of callbacks) {
			callback();
		}
	};

	const flush = () => {
		const messages = queue;
		queue = [];
		queuedBytes = 0;
		if (socket.readyState === socket.OPEN && messages.length > 0) {
			const frame = addFrameHeader(
				encodeFrame({sentAt: clock.now(), messages}, maxHeaderLength),
				isClient,
			);
			connection?.write(frame);
			written += frame.byteLength;
			sentAt = clock.now();
			countBuffered();
			budget.dropPart(frame.byteLength);
			if (hasQueuedOutcome) {
				writtenOutcomes = written;
				hasSentLarge ||= frame.byteLength > largeFrame;
			}
		}

		hasQueuedOutcome = false;
	};

	const finish = () => {
		if (!isClosed) {
			isClosed = true;
			writableCallbacks = [];
			countBuffered();
			handlers.onClose();
		}
	};

	/** An error must not reach the receiver of `ws`, which reads nothing more afterwards while its connection stays open. */
	const receive = (message: PeerMessage, delay: number) => {
		try {
			handlers.onMessage(message, delay);
		} catch (error) {
			const detail =
				error instanceof Error ? (error.stack ?? error.message) : String(error);
			handlers.onMalformed(`${message.kind}: ${detail}`);
		}
	};

	socket.on('upgrade', (response) => {
		connection = response.socket;
		connection.on('drain', onDrain);
	});
	connection?.on('drain', onDrain);
	socket.on('open', () => {
		handlers.onOpen();
	});
	socket.on('message', (data: RawData) => {
		complete = connection?.bytesRead ?? 0;
		// It was copied from what the socket delivered.
		budget.dropPart(2 * (data as Uint8Array).byteLength);
		const frame = decodeFrame(data as Uint8Array, handlers.onMalformed);
		if (frame.isErr()) {
			handlers.onMalformed(frame.error);
			socket.terminate();
			return;
		}

		const delay = transit.measure(frame.value.sentAt, clock.now());
		for (const message of frame.value.messages) {
			receive(message, delay);
		}
	});
	socket.on('close', finish);
	// Each error is followed by a close; its cause is the peer or the network.
	socket.on('error', (error) => {
		if (socket.readyState === socket.OPEN) {
			handlers.onMalformed(error.message);
		}
	});

	/**
	 * Whether the message may be queued, although the peer reads slowly. No message
	 * but a request is dropped while there is memory for it: its receiver would wait
	 * for an outcome until the deadline of the request.
	 */
	const mayQueue = (message: PeerMessage): boolean => {
		const isFull = budget.isFull('frames');
		if (isFull && buffered > requestLimit) {
			isEnding = true;
			handlers.onUnread(buffered);
			// Not at once: the sender doesn't expect that its other requests end meanwhile.
			process.nextTick(close);
			return false;
		}

		return !isRequest(message) || (!isFull && buffered <= requestLimit);
	};

	const close = () => {
		socket.terminate();
		finish();
	};

	return {
		send(message) {
			if (isClosed || isEnding || socket.readyState !== socket.OPEN) {
				return false;
			}

			buffered = socket.bufferedAmount;
			if (buffered > partLimit && !mayQueue(message)) {
				return false;
			}

			if (queue.length === 0) {
				// Not `setImmediate`, which costs the event loop one more system call for each frame.
				process.nextTick(flush);
			}

			hasQueuedOutcome ||=
				message.kind === 'outcome' || message.kind === 'part';
			queue.push(message);
			queuedBytes += bodySizeOf(message);
			if (queuedBytes > fullFrame) {
				flush();
			}

			return true;
		},
		received: () => connection?.bytesRead ?? 0,
		incomplete: () => (connection?.bytesRead ?? 0) - complete,
		hasUnsentOutcome: () =>
			!isClosed &&
			(hasQueuedOutcome ||
				written - (connection?.writableLength ?? 0) < writtenOutcomes),
		hasSentLarge: () => hasSentLarge,
		sentAt: () => sentAt,
		end() {
			flush();
			isEnding = true;
			connection?.end();
		},
		isCongested: () =>
			buffered > requestLimit && socket.bufferedAmount > requestLimit,
		isWritable,
		whenWritable(callback) {
			writableCallbacks.push(callback);
			// The queue is flushed in this turn; without a drain event it would not be noticed.
			if (connection?.writableNeedDrain === false) {
				setImmediate(() => {
					if (!isClosed && isWritable()) {
						onDrain();
					}
				});
			}
		},
		close,
		isOpen: () => socket.readyState === socket.OPEN,
	};
}

function isRequest({kind}: PeerMessage): boolean {
	return kind === 'request' || kind === 'largeRequest';
}

/** Bytes of the body of a message. */
function bodySizeOf(message: PeerMessage): number {
	if (message.kind === 'request') {
		return message.request.body?.byteLength ?? 0;
	}

	if (message.kind === 'part') {
		return message.bytes.byteLength;
	}

	return message.kind === 'outcome' && message.outcome.kind === 'answered'
		? message.outcome.body.byteLength
		: 0;
}
