/**
 * The HTTP connections of callers at a server, which are ended without losing
 * a request that was accepted.
 *
 * Answers leave a connection in the order of its requests, and nothing can
 * follow an answer that closes it (RFC 9112, section 9.3.2). So only the answer
 * to the last accepted request may close a connection. Requests that arrive
 * behind it are dropped; their sender knows that they have not been processed.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Timer} from './clock.js';

/**
 * Why a connection ended: the caller closed it or the network did, an answer
 * announced its end, what arrived on it was no request, the server ended, or
 * the server closed it for another reason.
 */
export type CloseCause =
	'caller' | 'closingAnswer' | 'malformedRequest' | 'stop' | 'server';

/** Accepted requests that ended with their connection. */
export type CutRequests = {
	cause: CloseCause;
	/** Accepted requests whose answer was not sent completely. */
	requests: number;
	/** Those of them that had been answered. */
	answered: number;
};

/** Dependencies of the connections. */
export type CallerConnectionsOptions = {
	clock: Clock;
	/** Called when a connection ends with accepted requests, unless the caller closed it. */
	onCut: (cut: CutRequests) => void;
};

/** The connections of callers. */
export type CallerConnections = {
	/** Registers a request whose headers have arrived; undefined if its connection is closing, and the request is dropped. */
	receive(
		request: IncomingMessage,
		response: ServerResponse,
	): CallerExchange | undefined;
	/**
	 * Ends a connection whose further bytes are no requests, after the answers
	 * to the accepted requests. Returns whether there are none, so that a last
	 * answer may be written before `end`.
	 */
	closeAfterAccepted(socket: Socket, cause: CloseCause): boolean;
	/** Ends a connection after what was written to it. */
	end(socket: Socket): void;
	/**
	 * Keeps connections that are idle open for the changed time, in milliseconds
	 * from now, but not for less than their last answers promised.
	 */
	renewIdleTime(idleTime: number): void;
	/** Number of accepted requests whose answers are not sent, and of connections that are being ended. */
	pending(): number;
	/** Number of requests that are arriving. */
	receiving(): number;
	/** Closes all connections at once. */
	close(): void;
};

/**
 * Maximum milliseconds from the end of the last answer until the connection is
 * closed. A close with unread bytes resets the connection, and the reset can
 * overtake the answer (RFC 9112, section 9.6).
 */
const lingerTime = 1000;

/** A position before that of every request. */
const none = -1;

const nothing = () => undefined;

/** Tracks the connections of a server that doesn't listen yet. */
export function createCallerConnections(
	server: Server,
	options: CallerConnectionsOptions,
): CallerConnections {
	const connections = new Map<Socket, CallerConnection>();

	server.on('connection', (socket) => {
		const connection = new CallerConnection(socket, options);
		connections.set(socket, connection);
		// Node ends the connection by this method after an answer that closes it.
		socket.destroySoon = () => {
			connection.end();
		};

		socket.once('close', () => {
			connections.delete(socket);
			connection.leave();
		});
	});

	const sum = (count: (connection: CallerConnection) => number) => {
		let total = 0;
		for (const connection of connections.values()) {
			total += count(connection);
		}

		return total;
	};

	return {
		receive(request, response) {
			const connection = connections.get(request.socket);
			if (!connection || connection.isClosing) {
				request.resume();
				return undefined;
			}

			return connection.receive(response);
		},
		closeAfterAccepted: (socket, cause) =>
			connections.get(socket)?.closeAfterAccepted(cause) ?? false,
		end(socket) {
			connections.get(socket)?.end();
		},
		renewIdleTime(idleTime) {
			for (const [socket, connection] of connections) {
				if (connection.isIdle()) {
					socket.setTimeout(Math.max(idleTime, socket.timeout ?? 0));
				}
			}
		},
		pending: () =>
			sum(({unsent, isEnding}) => Math.max(unsent.size, isEnding ? 1 : 0)),
		receiving: () => sum(({arriving}) => arriving),
		close() {
			for (const [socket, connection] of connections) {
				connection.stop();
				socket.destroy();
			}
		},
	};
}

/** One connection. */
class CallerConnection {
	/** The accepted requests whose answers are not sent. */
	readonly unsent = new Set<CallerExchange>();
	/** Requests of which the body is still arriving. */
	arriving = 0;
	/** No further request is accepted. */
	isClosing = false;
	/** Nothing more is sent. */
	isEnding = false;
	private received = 0;
	/** Position of the last request that is accepted. */
	private lastOrder = Number.POSITIVE_INFINITY;
	private cause: CloseCause | undefined = undefined;
	private lingerTimer: Timer | undefined = undefined;

	constructor(
		private readonly socket: Socket,
		private readonly options: CallerConnectionsOptions,
	) {
		const onCaller = () => {
			this.cause = 'caller';
		};

		socket.once('end', onCaller);
		socket.once('error', onCaller);
	}

	/**
	 * Whether it waits for a further request. Before the first one, Node would
	 * not end the timeout when a request arrives.
	 */
	isIdle(): boolean {
		return (
			this.received > 0 &&
			this.arriving + this.unsent.size === 0 &&
			!this.isClosing
		);
	}

	receive(response: ServerResponse): CallerExchange {
		this.arriving++;
		return new CallerExchange(this, response, this.received++);
	}

	/** Counts a request until its answer is sent. */
	accept(exchange: CallerExchange): boolean {
		this.arriving--;
		// One that arrived before the last one is still due: the last answer follows its answer.
		if (exchange.order > this.lastOrder) {
			return false;
		}

		this.unsent.add(exchange);
		exchange.response.once('finish', () => {
			// Node also reports the end of an answer that a destroyed connection dropped.
			if (!this.socket.destroyed) {
				this.unsent.delete(exchange);
				this.endIfAnswered();
			}
		});
		return true;
	}

	/** Whether an accepted request arrived behind this one. */
	hasAcceptedBehind({order}: CallerExchange): boolean {
		for (const other of this.unsent) {
			if (other.order > order) {
				return true;
			}
		}

		return false;
	}

	closeAfterAccepted(cause: CloseCause): boolean {
		const isFirst = !this.isClosing;
		this.closeBehind(none);
		this.setCause(cause);
		for (const exchange of this.unsent) {
			if (!this.hasAcceptedBehind(exchange)) {
				exchange.announceClose();
			}
		}

		return isFirst && this.unsent.size === 0;
	}

	/** Accepts no request behind this position. */
	closeBehind(order: number): void {
		this.isClosing = true;
		this.lastOrder = Math.min(this.lastOrder, order);
	}

	/** Ends what is sent, and reads on until the caller has closed the connection too. */
	end(): void {
		if (this.isEnding) {
			return;
		}

		this.isEnding = true;
		this.closeBehind(none);
		const {socket} = this;
		socket.end();
		socket.resume();
		this.lingerTimer = this.options.clock.setTimer(lingerTime, () => {
			socket.destroy();
		});
	}

	/** Sets why the connection ends, unless it is known. */
	setCause(cause: CloseCause): void {
		this.cause ??= cause;
	}

	/** Ends it with what is not sent yet, also if an answer had announced the end. */
	stop(): void {
		if (this.cause !== 'caller') {
			this.cause = 'stop';
		}

		this.leave();
	}

	/** Nothing more can be sent, because the connection is closed. */
	leave(): void {
		this.closeBehind(none);
		this.lingerTimer?.cancel();
		const cause = this.cause ?? 'server';
		const exchanges = [...this.unsent];
		this.unsent.clear();
		const requests = exchanges.length;
		const answered = exchanges.filter(({isAnswered}) => isAnswered).length;
		for (const exchange of exchanges) {
			exchange.leave();
		}

		if (requests > 0 && cause !== 'caller') {
			this.options.onCut({cause, requests, answered});
		}
	}

	private endIfAnswered(): void {
		if (this.isClosing && this.unsent.size === 0) {
			this.end();
		}
	}
}

/** A request and its answer. */
export class CallerExchange {
	isAnswered = false;
	private onLeave: () => void = nothing;

	constructor(
		private readonly connection: CallerConnection,
		readonly response: ServerResponse,
		/** Position of the request on its connection. */
		readonly order: number,
	) {}

	/**
	 * Accepts the request once it has arrived whole; false if its connection
	 * began to close meanwhile, and the request is dropped.
	 */
	accept(): boolean {
		return this.connection.accept(this);
	}

	/** Sets what is called when the caller disconnects before the answer. */
	whenLeft(onLeave: () => void): void {
		this.onLeave = onLeave;
	}

	/** The answer is being written. */
	answer(): void {
		this.isAnswered = true;
		this.onLeave = nothing;
	}

	/**
	 * Closes the connection after this answer, unless an accepted request is
	 * behind it. Called before the answer's headers are written.
	 */
	closeAfter(cause: CloseCause): void {
		const {connection} = this;
		if (!connection.hasAcceptedBehind(this)) {
			connection.closeBehind(this.order);
			connection.setCause(cause);
			this.announceClose();
		}
	}

	/** Adds `Connection: close` to the headers, unless they are written. */
	announceClose(): void {
		if (!this.response.headersSent) {
			this.response.shouldKeepAlive = false;
		}
	}

	leave(): void {
		this.onLeave();
	}
}
