/**
 * The HTTP listener for callers, with one task per request: each is read
 * completely within its limits and answered once. A connection is closed only
 * after the answer to its last accepted request has been sent.
 */
import {once, setMaxListeners} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {TargetAnnouncement} from '@egretspoke/protocol';
import {
	createCallerConnections,
	runDetached,
	sleep,
	type CallerExchange,
	type Clock,
	type ConnectionBudget,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import {
	createAcceptedRequests,
	type AcceptedRequest,
} from './accepted-requests.js';
import {createBodyBudget} from './body-budget.js';
import {writeOutcome} from './caller-answer.js';
import {createCallerHandler} from './caller-handler.js';
import type {CallerEntry, CallerOutcome} from './caller-request.js';
import {describeError, type NodeReporter} from './node-reporter.js';
import {writeRawRefusal} from './raw-refusals.js';
import {readBody, type BodyFault} from './request-body.js';
import {isAnnouncement, readAnnouncement} from './target-announcement.js';
import {listen, type OnListenerError} from './web-socket-transport.js';

/** Bounds of the listener; times in milliseconds, sizes in bytes. */
export type CallerListenerOptions = {
	clock: Clock;
	entry: CallerEntry;
	reporter: NodeReporter;
	onListenerError?: OnListenerError;
	bodyLimit: number;
	/** Maximum total of the bodies and unread answers held at the same time. */
	bufferLimit: number;
	headerLimit: number;
	/** Bounds what the connections of all listeners hold. */
	connectionBudget: ConnectionBudget;
	/** Maximum time for a whole request to arrive; a slower sender is disconnected. */
	requestTimeout: number;
	/** Called with each announcement of the local target. */
	announce(announcement: TargetAnnouncement): void;
};

/** Why requests that still run are given up: the time of a stop ran out, or it was to be immediate. */
export type GiveUpCause = 'drainTime' | 'stop';

/** The listener. */
export type CallerListener = {
	listen(host: string, port: number): Promise<number>;
	/**
	 * Refuses every request that isn't accepted yet. Resolves when the answers to
	 * all accepted ones have been sent.
	 */
	drain(): Promise<void>;
	/** Refuses bodies whose senders have paused or are slow, if others found no room. */
	refuseStalled(): void;
	/**
	 * Answers what still runs as not run or unknown, and closes. Resolves with
	 * the number of other requests whose answers were not sent completely.
	 */
	close(cause: GiveUpCause): Promise<number>;
};

/**
 * Keep-alive timeout in milliseconds. It is longer than that of clients, so that
 * the client closes first and no request is sent on a closing socket.
 */
const keepAliveTimeoutMs = 65_000;

/** Interval in milliseconds between two checks whether all answers have been sent. */
const sentCheckIntervalMs = 10;

/** Maximum time in milliseconds for callers to receive the last answers at a close. */
const closeTimeoutMs = 1000;

/** Creates the listener; nothing listens until `listen`. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const {clock, reporter} = options;
	const handler = createCallerHandler(options);
	const budget = createBodyBudget(options.bufferLimit);
	const accepted = createAcceptedRequests(clock);
	const draining = new AbortController();
	setMaxListeners(0, draining.signal);
	/** Connections whose caller has announced that it sends no further request. */
	const endedByCaller = new WeakSet<Socket>();
	let unsentAnswers = 0;

	const server = createServer(
		{
			maxHeaderSize: options.headerLimit,
			requestTimeout: options.requestTimeout,
			headersTimeout: options.requestTimeout,
			connectionsCheckingInterval: Math.max(100, options.requestTimeout / 4),
			keepAliveTimeout: keepAliveTimeoutMs,
			// Node's own refusal closes the connection under requests behind it.
			requireHostHeader: false,
		},
		(request, response) => {
			receive(request, response);
		},
	);
	// `close` calls it, and it also destroys connections whose answers aren't sent yet.
	server.closeIdleConnections = () => undefined;
	const connections = createCallerConnections(server, {
		clock,
		budget: options.connectionBudget,
		limits: () => ({
			headBytes: options.headerLimit,
			bodyBytes: options.bodyLimit,
			headTime: options.requestTimeout,
			idleTime: keepAliveTimeoutMs,
		}),
		onCut(cut) {
			unsentAnswers += cut.requests;
			reporter.recordEvent({name: 'requestsCut', ...cut});
		},
	});

	/** Refuses bytes that are no request, or ends the connection after the answers to the requests before them. */
	const endMalformed = (socket: Socket, errorCode?: string) => {
		reporter.recordEvent({
			name: 'malformedRequest',
			fault: errorCode ?? 'unknown',
		});
		// Requests that have arrived whole are accepted in this turn.
		clock.setTimer(0, () => {
			if (connections.closeAfterAccepted(socket, 'malformedRequest')) {
				socket.write(writeRawRefusal(errorCode));
				connections.end(socket);
			}
		});
	};

	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		endMalformed(socket as Socket, error.code);
	});
	// Without a handler, Node destroys the connection under accepted requests.
	server.on('connect', (_request, socket) => {
		endMalformed(socket as Socket, 'connect');
	});

	const receive = (request: IncomingMessage, response: ServerResponse) => {
		const {socket} = request;
		const exchange = endedByCaller.has(socket)
			? undefined
			: connections.receive(request, response);
		if (!exchange) {
			request.resume();
			return;
		}

		if (!response.shouldKeepAlive) {
			endedByCaller.add(socket);
		}

		const serving = isAnnouncement(request)
			? serveAnnouncement(request, exchange)
			: serve(request, exchange);
		void runDetached(serving, (error) => {
			// Its caller would wait for an answer until its own timeout.
			response.destroy();
			const detail = describeError(error);
			reporter.recordEvent({name: 'taskFailed', task: 'request', detail});
		});
	};

	const serve = async (request: IncomingMessage, exchange: CallerExchange) => {
		const {signal} = draining;
		const body = await readBody(request, options.bodyLimit, {
			budget,
			signal,
			onPart(bytes) {
				exchange.receivePart(bytes);
			},
			onRefusable(refuse) {
				exchange.whenStalled(refuse);
			},
		});
		try {
			if (exchange.accept()) {
				const entry = accepted.add(request, exchange);
				const outcome = await answer(request, body, entry);
				endAfterLast(exchange, body.isErr() || lacksHost(request));
				entry.answer();
				countAnswer(exchange, outcome);
				writeOutcome(exchange.response, outcome);
			}
		} finally {
			budget.release(body.isOk() ? body.value.length : 0);
		}
	};

	/** Counts an answer until its caller has read it or has left. */
	const countAnswer = (exchange: CallerExchange, {outcome}: CallerOutcome) => {
		const bytes =
			outcome.kind === 'answered' ? outcome.answer.body.byteLength : 0;
		if (bytes > 0) {
			budget.add(bytes);
			exchange.countUnsent(bytes, () => {
				budget.release(bytes);
			});
		}
	};

	const answer = async (
		request: IncomingMessage,
		body: Result<Uint8Array, BodyFault>,
		entry: AcceptedRequest,
	): Promise<CallerOutcome> => {
		if (body.isErr()) {
			return handler.refuse(request, body.error);
		}

		if (draining.signal.aborted) {
			return handler.refuse(request, 'stopped');
		}

		if (budget.isFull()) {
			return handler.refuse(request, 'noRoom');
		}

		return lacksHost(request)
			? handler.refuse(request, 'noHost')
			: entry.run(async (signal) =>
					handler.handle(request, body.value, signal),
				);
	};

	const endAfterLast = (exchange: CallerExchange, isLast: boolean) => {
		if (isLast || draining.signal.aborted) {
			exchange.closeAfter('closingAnswer');
		}
	};

	const serveAnnouncement = async (
		request: IncomingMessage,
		exchange: CallerExchange,
	) => {
		const body = await readBody(request, options.bodyLimit, {
			budget,
			onPart(bytes) {
				exchange.receivePart(bytes);
			},
		});
		if (exchange.accept()) {
			exchange.answer();
			endAfterLast(exchange, body.isErr());
			answerAnnouncement(request, exchange.response, body, options);
		}

		budget.release(body.isOk() ? body.value.length : 0);
	};

	/** Resolves when the condition holds, or when the time is over. */
	const waitUntil = async (isTrue: () => boolean, timeout: number) => {
		const deadline = clock.now() + timeout;
		while (!isTrue() && clock.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop -- one check after another.
			await sleep(clock, sentCheckIntervalMs);
		}
	};

	return {
		async listen(host, port) {
			return listen(server, host, port, options.onListenerError);
		},
		async drain() {
			draining.abort();
			await waitUntil(() => accepted.areSent(), Number.POSITIVE_INFINITY);
		},
		refuseStalled() {
			connections.refuseStalled(budget.hasRefused);
		},
		async close(cause) {
			draining.abort();
			const closed = server.listening ? once(server, 'close') : undefined;
			server.close();
			const givenUp = accepted.giveUp();
			if (givenUp.length > 0) {
				const requests = givenUp.length;
				reporter.recordEvent({name: 'requestsGivenUp', cause, requests});
			}

			await waitUntil(
				() => connections.pending() + connections.ending() === 0,
				closeTimeoutMs,
			);
			const unsentGivenUp = givenUp.filter((each) => !each.isSent()).length;
			unsentAnswers = 0;
			connections.close();
			await closed;
			return Math.max(0, unsentAnswers - unsentGivenUp);
		},
	};
}

/** Whether a request lacks the header that HTTP/1.1 demands. */
function lacksHost({headers, httpVersion}: IncomingMessage): boolean {
	return httpVersion === '1.1' && headers.host === undefined;
}

function answerAnnouncement(
	request: IncomingMessage,
	response: ServerResponse,
	body: Result<Uint8Array, BodyFault>,
	{announce, reporter}: CallerListenerOptions,
): void {
	const announcement = body
		.mapErr(String)
		.andThen((whole) => readAnnouncement(request, whole));
	announcement.match(
		(value) => {
			announce(value);
			response.writeHead(204).end();
		},
		(fault) => {
			reporter.recordEvent({name: 'malformedRequest', fault: 'announcement'});
			response.writeHead(400).end(`${fault}\n`);
		},
	);
}
