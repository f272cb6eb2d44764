/**
 * One HTTP connection of a caller: the order of its requests, what it makes the
 * process hold, and its end.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {CallerExchange} from './caller-exchange.js';
import type {Clock, Timer} from './clock.js';
import type {
	BudgetedConnection,
	ConnectionBudget,
} from './connection-budget.js';
import {
	ConnectionIntake,
	connectionBytes,
	readConnection,
	requestBytes,
	type ConnectionReading,
	type IntakeFault,
	type IntakeLimits,
} from './connection-intake.js';
import type {ReadPacer} from './read-pacer.js';

/**
 * Why a connection ended: the caller closed it or the network did, an answer
 * announced its end, what arrived on it was no request, it exceeded a limit or
 * held most when all together did, the server ended, or the server closed it
 * for another reason.
 */
export type CloseCause =
	'caller' | 'closingAnswer' | 'malformedRequest' | 'limit' | 'stop' | 'server';

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
	/** Bounds what the connections of all listeners hold together. */
	budget: ConnectionBudget;
	/** What each connection may send. */
	limits: () => IntakeLimits;
	/** Called with the size of each part of a body that is discarded. */
	onDiscard?: (bytes: number) => void;
	/** Called when a connection ends with accepted requests, unless the caller closed it. */
	onCut: (cut: CutRequests) => void;
};
/**
 * Maximum milliseconds from the end of the last answer until the connection is
 * closed. A close with unread bytes resets the connection, and the reset can
 * overtake the answer (RFC 9112, section 9.6).
 */
const lingerTime = 1000;

/** A position before that of every request. */
const none = -1;

/** Maximum number of requests of a connection that are not answered; those behind them are dropped, and the connection closes. */
const maxRequestsAhead = 256;

/**
 * Maximum number of requests of a connection that run before their answers are
 * sent: a caller that reads slowly would make the node hold all of them.
 */
const maxStarted = 4;

/** Answers to what exceeds a limit, by the codes of Node's parser for the same faults. */
const answeredFaults: Partial<Record<IntakeFault, string>> = {
	headTooLong: 'HPE_HEADER_OVERFLOW',
	headTooSlow: 'ERR_HTTP_REQUEST_TIMEOUT',
};

/** Bytes below which a part of a body is small, and their number on a connection before others are read. */
const smallPart = 64;
const maxSmallParts = 4096;

/** Why nothing is read from a connection: a body waits for memory, others have their turn, or it sends too much. */
type ReadPause = 'memory' | 'pace' | 'excess';

/** A connection, from its opening to its close. */
export class CallerConnection implements BudgetedConnection {
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
	private readonly intake = new ConnectionIntake();
	/** The request that arrived last. */
	private lastRequest: IncomingMessage | undefined = undefined;
	private lastExchange: CallerExchange | undefined = undefined;
	/** Number of requests that were dropped behind the last accepted one; Node keeps each until the connection ends. */
	private dropped = 0;
	/** Bytes of answers that are not sent. */
	private unsentBytes = 0;
	/** Number of requests that were started and whose answers are not sent. */
	private started = 0;
	/** Accepted requests that wait until answers before them are sent. */
	private waiting: CallerExchange[] = [];
	/** Why nothing is read at present. */
	private readonly pauses = new Set<ReadPause>();
	/** Small parts of bodies since reading was last paced. */
	private smallParts = 0;

	constructor(
		private readonly socket: Socket,
		private readonly options: CallerConnectionsOptions,
		private readonly pacer: ReadPacer,
		/** Answers a fault that Node's parser has a code for. */
		private readonly reject: (code: string) => void,
	) {
		const onCaller = () => {
			this.cause = 'caller';
		};

		socket.once('end', onCaller);
		socket.once('error', onCaller);
		// Node resumes reading whenever a part of a body or an answer is done.
		const resume = socket.resume.bind(socket);
		socket.resume = () => (this.pauses.size > 0 ? socket : resume());
	}

	isIdle(): boolean {
		return (
			this.unsent.size === 0 &&
			(this.arriving === 0 || this.intake.givesWay(this.read()))
		);
	}

	/**
	 * Whether it waits for a further request. Before the first one, Node would
	 * not end the timeout when a request arrives.
	 */
	isBetweenRequests(): boolean {
		return (
			this.received > 0 &&
			this.arriving + this.unsent.size === 0 &&
			!this.isClosing
		);
	}

	receive(
		request: IncomingMessage,
		response: ServerResponse,
	): CallerExchange | undefined {
		this.intake.receive();
		this.lastRequest = request;
		if (this.arriving + this.unsent.size >= maxRequestsAhead) {
			this.drop();
			request.resume();
			this.closeAfterAccepted('limit');
			return undefined;
		}

		this.options.budget.grow(requestBytes);
		this.arriving++;
		this.lastExchange = new CallerExchange(this, response, this.received++);
		return this.lastExchange;
	}

	/** Counts a request that is dropped, and reads no further ones: their number has no end. */
	drop(): void {
		this.dropped++;
		this.options.budget.grow(requestBytes);
		if (this.dropped > maxRequestsAhead) {
			this.pauseReading('excess');
		}
	}

	pauseReading(reason: ReadPause): void {
		this.pauses.add(reason);
		this.socket.pause();
	}

	resumeReading(reason: ReadPause): void {
		if (this.pauses.delete(reason)) {
			this.socket.resume();
		}
	}

	/** Counts a part of a body, each of which takes processor time however small it is. */
	receivePart(bytes: number): void {
		if (bytes >= smallPart) {
			return;
		}

		this.smallParts++;
		if (this.smallParts === maxSmallParts) {
			this.pauseReading('pace');
			this.pacer.add(this);
		}
	}

	discardPart(bytes: number): void {
		this.options.onDiscard?.(bytes);
		this.receivePart(bytes);
	}

	resume(): void {
		this.smallParts = 0;
		this.resumeReading('pace');
	}

	/** Counts bytes of an answer until they are sent; negative if they are. */
	addUnsent(bytes: number): void {
		this.unsentBytes += bytes;
		if (bytes > 0) {
			this.options.budget.grow(bytes);
		}
	}

	held(): number {
		return (
			connectionBytes +
			(this.arriving + this.unsent.size + this.dropped) * requestBytes +
			this.unsentBytes +
			this.intake.headHeld(this.read())
		);
	}

	check(elapsed: number): void {
		const fault = this.intake.check(
			this.read(),
			elapsed,
			this.options.limits(),
		);
		if (fault !== undefined && !this.isEnding) {
			this.endFaulty(fault);
		}
	}

	/** Refuses the body that is arriving if its sender has paused or is slow. */
	refuseStalled(): void {
		if (this.intake.givesWay(this.read())) {
			this.lastExchange?.stall();
		}
	}

	close(): void {
		this.setCause('limit');
		this.socket.destroy();
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
				this.startNext(exchange);
			}
		});
		return true;
	}

	/** Starts an accepted request, or lets it wait for those before it. */
	start(exchange: CallerExchange): void {
		if (this.started < maxStarted) {
			this.started++;
			exchange.run();
		} else {
			this.waiting.push(exchange);
		}
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

	/**
	 * Ends what is sent, and reads on until the caller has closed the connection
	 * too, unless it sends without end.
	 */
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
		this.waiting = [];
		const requests = exchanges.length;
		const answered = exchanges.filter(({isAnswered}) => isAnswered).length;
		for (const exchange of exchanges) {
			exchange.leave();
		}

		if (requests > 0 && cause !== 'caller') {
			this.options.onCut({cause, requests, answered});
		}
	}

	private read(): ConnectionReading {
		return readConnection(this.socket, this.lastRequest);
	}

	private endFaulty(fault: IntakeFault): void {
		if (fault === 'bodyStalled' && this.lastExchange?.stall()) {
			return;
		}

		this.setCause('limit');
		const code = answeredFaults[fault];
		if (code === undefined) {
			this.socket.destroy();
		} else {
			this.pauseReading('excess');
			this.reject(code);
		}
	}

	/** Starts the next request when the answer to another one is sent. */
	private startNext(sent: CallerExchange): void {
		if (!sent.isStarted) {
			return;
		}

		this.started--;
		const next = this.waiting.shift();
		if (next) {
			this.start(next);
		}
	}

	private endIfAnswered(): void {
		if (this.isClosing && this.unsent.size === 0) {
			this.end();
		}
	}
}
