/**
 * Bounds what arrives on one HTTP connection and never becomes a request, and
 * how long it may take. It reads the counters of the socket, so that the bytes
 * of ordinary requests cost nothing.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** What a connection may send, in bytes and milliseconds. */
export type IntakeLimits = {
	/** Maximum size of a head. */
	headBytes: number;
	/** Maximum size of a body. */
	bodyBytes: number;
	/** Maximum time in which a head arrives. */
	headTime: number;
	/** Maximum time without a byte in a body or an answer, and before the first request. */
	idleTime: number;
};

/** How a connection exceeds its limits. */
export type IntakeFault =
	| 'headTooLong'
	| 'headTooSlow'
	| 'unused'
	| 'bodyTooLong'
	| 'bodyStalled'
	| 'answerUnread';

/** The present state of a connection. */
export type ConnectionReading = {
	/** Bytes that were received and sent since it opened. */
	bytesRead: number;
	bytesWritten: number;
	/** Bytes that wait to be sent. */
	bytesWaiting: number;
	/** Whether a body is arriving. */
	isInBody: boolean;
	/** Whether the bytes of the body are not read, because they wait for memory. */
	isHeldBack: boolean;
};

/** Estimated bytes of an open connection, and of a request until its answer is sent, beside its body. */
export const connectionBytes = 10 * 1024;
export const requestBytes = 6 * 1024;

/** Bytes of one read, which can hold the beginning of the next head. */
const readBytes = 64 * 1024;
/** Bytes on the wire for each byte of a body in chunks of one byte, with room for extensions. */
const chunkFraming = 8;
/** Milliseconds in which a body arrives at most, however steadily. */
const maxBodyTime = 120_000;
/** Bytes of an answer that its reader takes in a millisecond at least. */
const minReadRate = 64;
/** Milliseconds of a pause after which a body gives way to others. */
const pressedStallTime = 1000;
/** Bytes a millisecond below which a body is slow, and the time before it is judged. */
const slowBodyRate = 4;
const slowBodyTime = 3000;
/**
 * Bytes that a head takes for each byte that has arrived: V8 stores the name and
 * the value of each field as a string and in a list.
 */
const headMemory = 8;

/** Reads the state of a connection from its socket and the request that arrived last. */
export function readConnection(
	socket: Socket,
	lastRequest: IncomingMessage | undefined,
): ConnectionReading {
	return {
		bytesRead: socket.bytesRead,
		bytesWritten: socket.bytesWritten,
		bytesWaiting: socket.writableLength,
		isInBody: lastRequest !== undefined && !lastRequest.complete,
		isHeldBack: socket.isPaused(),
	};
}

/** Watches the arriving bytes of one connection. */
export class ConnectionIntake {
	/** Bytes read at the check after the last head or body was complete. */
	private readBefore = 0;
	private wasInBody = false;
	/** Whether a request was received since the last check. */
	private isNew = false;
	private hasRequest = false;
	/** Milliseconds since the first byte of what is arriving. */
	private arrivalTime = 0;
	private lastRead = 0;
	private readStall = 0;
	private lastWritten = 0;
	private writeStall = 0;

	/** A request's head is complete; its body and what follows it are told apart at the next check. */
	receive(): void {
		this.hasRequest = true;
		this.isNew = true;
	}

	/** Bytes that the head which is arriving takes. */
	headHeld({bytesRead, isInBody}: ConnectionReading): number {
		return isInBody || this.wasInBody || this.isNew
			? 0
			: (bytesRead - this.readBefore) * headMemory;
	}

	/** Bytes of the body that is arriving. */
	bodyHeld({bytesRead, isInBody}: ConnectionReading): number {
		return isInBody ? bytesRead - this.readBefore : 0;
	}

	/**
	 * Whether the body that is arriving should give way to others: its sender has
	 * paused, or has sent little in all its time.
	 */
	givesWay(reading: ConnectionReading): boolean {
		if (!reading.isInBody || reading.isHeldBack) {
			return false;
		}

		const isSlow =
			this.arrivalTime > slowBodyTime &&
			this.bodyHeld(reading) < this.arrivalTime * slowBodyRate;
		return isSlow || this.readStall >= pressedStallTime;
	}

	/** Returns how the connection exceeds its limits, if it does. */
	check(
		reading: ConnectionReading,
		elapsed: number,
		limits: IntakeLimits,
	): IntakeFault | undefined {
		const {bytesRead, isInBody} = reading;
		if (this.isNew || this.wasInBody !== isInBody) {
			this.begin(bytesRead);
		}

		this.isNew = false;
		this.wasInBody = isInBody;
		this.readStall =
			bytesRead === this.lastRead && !reading.isHeldBack
				? this.readStall + elapsed
				: 0;
		this.lastRead = bytesRead;
		return (
			this.checkAnswer(reading, elapsed, limits) ??
			(isInBody
				? this.checkBody(bytesRead, elapsed, limits)
				: this.checkHead(reading, elapsed, limits))
		);
	}

	private begin(bytesRead: number): void {
		this.readBefore = bytesRead;
		this.lastRead = bytesRead;
		this.arrivalTime = 0;
		this.readStall = 0;
	}

	private checkAnswer(
		{bytesWritten, bytesWaiting}: ConnectionReading,
		elapsed: number,
		{idleTime}: IntakeLimits,
	): IntakeFault | undefined {
		// Bytes that wait are counted as written already.
		const sent = bytesWritten - bytesWaiting;
		this.writeStall =
			bytesWaiting > 0 && sent === this.lastWritten
				? this.writeStall + elapsed
				: 0;
		this.lastWritten = sent;
		// The system takes an answer as a whole, so its progress is not seen.
		return this.writeStall > idleTime + bytesWaiting / minReadRate
			? 'answerUnread'
			: undefined;
	}

	private checkBody(
		bytesRead: number,
		elapsed: number,
		{bodyBytes, idleTime}: IntakeLimits,
	): IntakeFault | undefined {
		this.arrivalTime += elapsed;
		if (bytesRead - this.readBefore > bodyBytes * chunkFraming + readBytes) {
			return 'bodyTooLong';
		}

		return this.readStall > idleTime || this.arrivalTime > maxBodyTime
			? 'bodyStalled'
			: undefined;
	}

	private checkHead(
		{bytesRead}: ConnectionReading,
		elapsed: number,
		{headBytes, headTime, idleTime}: IntakeLimits,
	): IntakeFault | undefined {
		const arrived = bytesRead - this.readBefore;
		if (arrived > headBytes + readBytes) {
			return 'headTooLong';
		}

		if (arrived > 0) {
			this.arrivalTime += elapsed;
			return this.arrivalTime > headTime ? 'headTooSlow' : undefined;
		}

		return !this.hasRequest && this.readStall > headTime + idleTime
			? 'unused'
			: undefined;
	}
}
