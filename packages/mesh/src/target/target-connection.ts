/**
 * One connection to a target.
 *
 * A connection is used again only if everything that it delivered belongs to its
 * exchanges. A late copy of a response is told from the response to the request
 * under way by its request id alone, so a connection carries no id again that it
 * has declined. An answer without a length ends with its connection and is complete
 * only if that was closed, not reset; otherwise a truncated answer would pass as
 * whole.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import type {Clock} from '@egretspoke/shared';
import {createResponseParser} from './response-parser.js';

/**
 * What is done with a response: it answers the request; it belongs to another
 * request, and the next response is awaited; or it is invalid, and the connection
 * is closed.
 */
export type ResponseVerdict = 'accepted' | 'foreign' | 'invalid';

/** A request and the receiver of its response. */
export type HttpExchange = {
	requestId: string;
	/** Request line and headers, in Latin-1. */
	head: string;
	body: Uint8Array | undefined;
	isHeadRequest: boolean;
	/** Whether the request was cancelled; the pool stops calling the exchange. */
	isCancelled: boolean;
	/** Closes the connection that carries the exchange; undefined while there is none. */
	abort: (() => void) | undefined;
	/** Stops or continues reading from that connection. */
	setPaused: ((isPaused: boolean) => void) | undefined;
	/** Maximum idle time of the connection after the response, in milliseconds, as stated in its headers. */
	idleTime: number;
	/** Whether the response states that the request has not run, so that it may be sent again. */
	isDeclined: boolean;
	/** The final status and the headers of a response arrived; returns what to do with it. */
	onHead(status: number, headers: string[]): ResponseVerdict;
	onBody(part: Uint8Array): void;
	/** The response is complete. */
	onComplete(): void;
	/** The connection was lost after the request was sent. */
	onLost(): void;
	/** No connection could be opened; the request was not sent. */
	onUnreachable(detail: string): void;
};

/** A connection that can be closed or used again. */
export type TargetConnection = {
	/** The time, on the clock, from which the connection is not used again. */
	idleUntil: number;
	/** Whether a request with this id was declined on the connection. */
	hasDeclined(requestId: string): boolean;
	start(exchange: HttpExchange): void;
	close(): void;
};

/** Timeout for connecting to the local machine, in milliseconds; a target that takes longer is down. */
const connectTimeout = 500;
/** Milliseconds without traffic until the system checks whether the other side still exists. */
const probeDelay = 60_000;
/** The highest status that HTTP defines (RFC 9110, section 15). */
const maxStatus = 599;
/** Maximum number of declined requests that a connection remembers; one that has declined more is closed. */
const maxDeclined = 64;
/**
 * Maximum number of bytes without a part of the awaited response: interim
 * responses, responses to other requests and framing. A late copy of a response
 * with a large body is within it.
 */
const maxForeignBytes = 16 * 1024 * 1024;
/** Maximum number of interim responses, and responses to other requests, before the awaited one. */
const maxForeignResponses = 64;
/** Maximum size of a body that is copied behind its head to be sent in one write, in bytes. */
const maxCopiedBytes = 16 * 1024;
/** Bytes read at once; more than a usual answer, so that it is read and parsed in one step. */
const readBytes = 64 * 1024;

/**
 * Receives the bytes of all connections. POSIX systems read after a connection
 * is readable and hand the bytes over at once, and the parser copies the bodies.
 */
const readBuffer = Buffer.allocUnsafeSlow(readBytes);

/** What a connection needs of its pool. */
export type TargetConnectionOptions = {
	host: string;
	port: number;
	clock: Clock;
	release: (connection: TargetConnection, idleTime: number) => void;
	removeIdle: (connection: TargetConnection) => void;
};

/** Opens a connection for an exchange. */
export function openTargetConnection(
	first: HttpExchange,
	options: TargetConnectionOptions,
): void {
	const {clock} = options;
	let exchange: HttpExchange | undefined = first;
	let isOpen = false;
	let isReset = false;
	/** Whether the headers of the final response were accepted. */
	let isAccepted = false;
	let isComplete = false;
	/** Whether the connection delivered bytes that belong to no exchange. */
	let hasExtraBytes = false;
	let isKeptAlive = false;
	/** Bytes received since the last part of the awaited response. */
	let foreignBytes = 0;
	/** Responses received since the exchange began that do not answer it. */
	let foreignResponses = 0;
	const declined = new Set<string>();

	const parser = createResponseParser({
		onBegin() {
			hasExtraBytes ||= isComplete || exchange === undefined;
		},
		onHead(status, headers, head) {
			if (hasExtraBytes || exchange === undefined) {
				return true;
			}

			// The request asked neither to continue nor for another protocol, and other statuses are not defined, so what follows is no answer to it.
			if (status === 100 || status > maxStatus || head.isUpgrade) {
				lose();
				return true;
			}

			if (status < 200) {
				foreignResponses++;
				return false;
			}

			const current = exchange;
			const verdict = current.onHead(status, headers);
			if (verdict === 'invalid') {
				close();
				return true;
			}

			if (verdict === 'foreign') {
				foreignResponses++;
				return false;
			}

			// Receivers of the headers may have cancelled the exchange.
			isAccepted = exchange === current;
			foreignBytes = 0;
			isKeptAlive = head.isKeptAlive;
			return current.isHeadRequest;
		},
		onBody(part) {
			if (isAccepted && !hasExtraBytes) {
				foreignBytes = 0;
				exchange?.onBody(part);
			}
		},
		onComplete() {
			isComplete ||= isAccepted && !hasExtraBytes;
		},
	});

	const receive = (size: number): boolean => {
		foreignBytes += size;
		const isValid = parser.parse(readBuffer.subarray(0, size));
		if (isComplete && exchange) {
			complete(isValid);
		} else if (
			!isValid ||
			hasExtraBytes ||
			foreignBytes > maxForeignBytes ||
			foreignResponses > maxForeignResponses
		) {
			lose();
		}

		return true;
	};

	/** Ends an exchange whose response has a length. */
	const complete = (isValid: boolean) => {
		const ended = exchange!;
		if (ended.isDeclined) {
			declined.add(ended.requestId);
		}

		const isReusable =
			isValid &&
			isKeptAlive &&
			!hasExtraBytes &&
			ended.idleTime > 0 &&
			declined.size < maxDeclined &&
			// Some servers send a body in response to HEAD.
			!ended.isHeadRequest &&
			// The next request would wait behind a body that the target may never read.
			socket.writableLength === 0;
		detach();
		if (isReusable) {
			options.release(connection, ended.idleTime);
		} else {
			close();
		}

		ended.onComplete();
	};

	const detach = () => {
		if (exchange) {
			exchange.abort = undefined;
			exchange.setPaused = undefined;
		}

		setPaused(false);

		exchange = undefined;
		isAccepted = false;
		isComplete = false;
	};

	const close = () => {
		detach();
		options.removeIdle(connection);
		socket.destroy();
	};

	/** Closes the connection; its exchange is lost. */
	const lose = (detail = 'closed') => {
		const lost = exchange;
		close();
		if (isOpen) {
			lost?.onLost();
		} else {
			lost?.onUnreachable(detail);
		}
	};

	/** Checks that the connection was closed without a reset, then ends an exchange whose response has no length. */
	const completeAtClose = () => {
		const ended = exchange!;
		if (isReset) {
			lose();
			return;
		}

		// Node reports an end when the last bytes and the reset are read in the same tick. A write fails after a reset,
		// but succeeds if the other side closed. Servers ignore an empty line (RFC 9112, section 2.2).
		socket.write('\r\n', (error) => {
			if (exchange !== ended) {
				return;
			}

			if (!error && !isReset) {
				close();
				ended.onComplete();
				return;
			}

			lose();
		});
	};

	const socket = connect({
		host: options.host,
		port: options.port,
		noDelay: true,
		keepAlive: true,
		keepAliveInitialDelay: probeDelay,
		// Otherwise Node rejects all writes after the other side has ended.
		allowHalfOpen: true,
		onread: {buffer: readBuffer, callback: receive},
	});
	const connectTimer = clock.setTimer(connectTimeout, () => {
		// After a stall, timers run before it is known that the connection is open.
		setImmediate(() => {
			if (!isOpen) {
				lose('connect timeout');
			}
		});
	});
	socket.on('connect', () => {
		connectTimer.cancel();
		isOpen = true;
		if (exchange) {
			write(exchange);
		}
	});
	socket.on('end', () => {
		if (exchange && parser.finish() && isComplete) {
			completeAtClose();
		} else {
			lose();
		}
	});
	socket.on('error', (error) => {
		isReset = true;
		lose(error.message);
	});
	socket.on('close', () => {
		connectTimer.cancel();
		lose();
		parser.close();
	});

	const write = ({head, body}: HttpExchange) => {
		if (body === undefined) {
			socket.write(head, 'latin1');
		} else if (body.byteLength <= maxCopiedBytes) {
			const bytes = Buffer.allocUnsafe(head.length + body.byteLength);
			bytes.write(head, 'latin1');
			bytes.set(body, head.length);
			socket.write(bytes);
		} else {
			socket.cork();
			socket.write(head, 'latin1');
			socket.write(body);
			socket.uncork();
		}
	};

	function setPaused(isPaused: boolean): void {
		if (isPaused === socket.isPaused() || socket.destroyed) {
			return;
		}

		if (isPaused) {
			socket.pause();
		} else {
			socket.resume();
		}
	}

	const connection: TargetConnection = {
		idleUntil: 0,
		hasDeclined: (requestId) => declined.has(requestId),
		start(next) {
			exchange = next;
			foreignBytes = 0;
			foreignResponses = 0;
			next.abort = close;
			next.setPaused = setPaused;
			write(next);
		},
		close,
	};
	first.abort = close;
	first.setPaused = setPaused;
}
