/**
 * The HTTP listener for local callers and for calls of the local target.
 *
 * Bodies are buffered before a request is forwarded, so that a caller that
 * stalls or disconnects during an upload holds no slot of a target.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {MeshMetrics} from '@egretspoke/observability';
import {
	createCallerConnections,
	type CallerExchange,
	type Clock,
	type ConnectionBudget,
} from '@egretspoke/shared';
import type {HeaderNames} from '../configuration/header-names.js';
import type {
	BodyHold,
	MemoryBudget,
} from '../decisions/memory/memory-budget.js';
import {listenOn} from '../listening.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {CallerLimits} from '../configuration/route.js';
import {
	createCallerHeaderReader,
	type CallerHeaders,
} from './caller-headers.js';
import type {FinalAnswer} from './caller-request.js';
import type {Entry} from './entry.js';
import {readBody, type BodyResult} from './request-body.js';
import {createResponseWriter} from './response-writer.js';

/** Dependencies of the listener. */
export type CallerListenerOptions = {
	entry: Entry;
	clock: Clock;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'requestEnded' | 'requestsCut'>;
	budget: MemoryBudget;
	/** Bounds what the connections of all listeners hold. */
	connectionBudget: ConnectionBudget;
	/** The service of the local target, sent to targets in a header. */
	callerService: () => string;
	/** Whether callers identify their workspaces by keys. */
	hasWorkspaces: () => boolean;
	isStopping: () => boolean;
};

/** The listener for callers. */
export type CallerListener = {
	/** Listens on `ip:port`; returns the bound address. */
	listen(address: string): Promise<string>;
	applyLimits(limits: CallerLimits): void;
	/** Number of requests whose answers are not sent. */
	pending(): number;
	/** Number of connections on which everything is sent and that their callers have not closed yet. */
	ending(): number;
	/** Number of requests that are arriving. */
	receiving(): number;
	/**
	 * Refuses bodies whose senders have paused or are slow, while other bodies
	 * wait for the memory that they hold.
	 */
	refuseStalled(): void;
	/** Closes all connections at once. */
	close(): void;
};

/** Limits until a configuration is known: what Node allows by default. */
const defaultLimits: CallerLimits = {
	headerBytes: 16 * 1024,
	bodyBytes: 64 * 1024 * 1024,
	headerTime: 3000,
	idleTime: 15_000,
};
/** Bytes by which the request line and its framing may exceed the limit of the header fields. */
const requestLineBytes = 16 * 1024;
/** Minimum bytes of a header field. */
const minFieldBytes = 4;

/** Maximum wait of a body for memory: a share of the time that its caller waits, and the milliseconds if that isn't stated. */
const maxWaitRatio = 0.5;
const defaultMaxWait = 5000;
/** Milliseconds after which a caller may repeat a request that found no memory; large bodies take about as long. */
const refusedBodyRetryAfter = 1000;

/** Statuses of what is no request, by the code of Node's error. */
const rawStatuses: Record<string, string> = {
	/* eslint-disable @typescript-eslint/naming-convention -- Node's error codes. */
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** A request whose body is complete. */
type ReceivedRequest = {
	headers: CallerHeaders;
	body: Uint8Array | undefined;
	bodyHold: BodyHold | undefined;
	/** Arrival time of the headers, on the clock. */
	arrivedAt: number;
};

/** Creates a listener that is not listening yet. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const {headerNames, budget} = options;
	const readHeaders = createCallerHeaderReader(headerNames);
	let limits = defaultLimits;
	const write = createResponseWriter({
		...options,
		stallTimeout: () => limits.idleTime,
	});
	const server: Server = createServer(
		{
			keepAliveTimeout: limits.idleTime,
			maxHeaderSize: limits.headerBytes + requestLineBytes,
			// Node's own answer would end the connection under accepted requests behind it.
			requireHostHeader: false,
			noDelay: true,
		},
		(request, response) => {
			receive(request, response);
		},
	);
	server.requestTimeout = 0;
	/** Applies to connections that are opened later. */
	const applyToServer = () => {
		server.keepAliveTimeout = limits.idleTime;
		server.headersTimeout = limits.headerTime + limits.idleTime;
		server.maxHeadersCount = Math.ceil(limits.headerBytes / minFieldBytes) + 1;
		// Node reads it for each connection, but its types don't have it.
		Object.assign(server, {
			maxHeaderSize: limits.headerBytes + requestLineBytes,
		});
	};

	applyToServer();
	const connections = createCallerConnections(server, {
		clock: options.clock,
		budget: options.connectionBudget,
		limits: () => ({
			headBytes: limits.headerBytes + requestLineBytes,
			bodyBytes: limits.bodyBytes,
			headTime: limits.headerTime,
			idleTime: limits.idleTime,
		}),
		onDiscard: budget.dropPart,
		onCut(cut) {
			options.metrics.requestsCut(cut.cause, cut.requests);
			options.reporter.notice('meshRequestsCut', {
				...cut,
				isStopping: options.isStopping(),
			});
		},
	});

	/** Answers what is no request, behind the answers to the requests before it. */
	const rejectMalformed = (socket: Socket, code = '', detail = '') => {
		if (!connections.closeAfterAccepted(socket, 'malformedRequest')) {
			return;
		}

		const status = rawStatuses[code] ?? '400 Bad Request';
		options.reporter.notice('malformedRequest', {fault: detail});
		socket.write(
			`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
		);
		connections.end(socket);
	};

	server.on('error', (error) => {
		// `listen` reports the errors before.
		if (server.listening) {
			options.reporter.notice('listenerFailed', {
				listener: 'callers',
				detail: error.message,
			});
		}
	});
	server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
		const socket = stream as Socket;
		const isConnected = socket.writable && !socket.destroyed;
		if (isConnected && socket.bytesRead > 0) {
			// Requests that have arrived whole are accepted in this turn.
			setImmediate(rejectMalformed, socket, error.code, error.message);
		} else {
			socket.destroy();
		}
	});
	// Node destroys the connection of a CONNECT request that nothing handles.
	server.on('connect', (_request, stream) => {
		setImmediate(rejectMalformed, stream as Socket, '', 'CONNECT');
	});

	const receive = (request: IncomingMessage, response: ServerResponse) => {
		const exchange = connections.receive(request, response);
		if (!exchange) {
			return;
		}

		const headers = readHeaders(request.rawHeaders, options.hasWorkspaces());
		// Node drops the fields beyond the maximum number.
		const isTruncated =
			request.rawHeaders.length >= 2 * server.maxHeadersCount!;
		if (headers.size > limits.headerBytes || isTruncated) {
			exchange.discard(request);
			reject(exchange, 431);
			return;
		}

		if (
			headers.hasInvalidName ||
			(headers.host === undefined && request.httpVersion === '1.1')
		) {
			exchange.discard(request);
			reject(exchange, 400);
			return;
		}

		const arrivedAt = options.clock.now();
		if (budget.isFull('responses')) {
			exchange.discard(request);
			refuse(exchange, headers, 'noMemory');
		} else if (headers.hasBody) {
			receiveBody(request, exchange, headers, arrivedAt);
		} else {
			// Skips the empty body stream, which would cost six stream calls for each read request.
			handle(request, exchange, {
				headers,
				body: undefined,
				bodyHold: undefined,
				arrivedAt,
			});
		}
	};

	/** Refuses a request that has not run; the rest of its body is discarded. */
	const refuse = (
		exchange: CallerExchange,
		{requestId}: CallerHeaders,
		reason: 'noMemory' | 'stalled',
	) => {
		if (!exchange.accept()) {
			return;
		}

		options.metrics.requestEnded({
			route: '',
			outcome: 'refused',
			reason,
			duration: 0,
		});
		options.reporter.decision('meshRejected', requestId, reason, {
			status: 503,
			route: '',
		});
		respond(exchange, {
			kind: 'own',
			status: 503,
			reason,
			retryAfter: refusedBodyRetryAfter,
		});
	};

	/** Answers a request that is invalid or exceeds a limit, and ends its connection. */
	const reject = (exchange: CallerExchange, status: 400 | 413 | 431) => {
		if (exchange.accept()) {
			exchange.answer();
			exchange.closeAfter('closingAnswer');
			exchange.response.writeHead(status, {'content-length': '0'}).end();
		}
	};

	const receiveBody = (
		request: IncomingMessage,
		exchange: CallerExchange,
		headers: CallerHeaders,
		arrivedAt: number,
	) => {
		const timeLeft = Number(headers.timeLeft);
		const bodyHandlers: {
			[Kind in BodyResult['kind']]: (
				result: Extract<BodyResult, {kind: Kind}>,
			) => void;
		} = {
			read({body, hold}) {
				handle(request, exchange, {headers, body, bodyHold: hold, arrivedAt});
			},
			tooLarge() {
				reject(exchange, 413);
			},
			noMemory() {
				refuse(exchange, headers, 'noMemory');
			},
			stalled() {
				exchange.closeAfter('closingAnswer');
				refuse(exchange, headers, 'stalled');
			},
		};
		const refuseStalled = readBody(
			request,
			{
				clock: options.clock,
				budget,
				limit: limits.bodyBytes,
				maxWait: timeLeft > 0 ? timeLeft * maxWaitRatio : defaultMaxWait,
				maxTime: timeLeft > 0 ? timeLeft : Number.POSITIVE_INFINITY,
				stallTimeout: limits.idleTime,
				pauseReading() {
					exchange.pauseReading();
				},
				resumeReading() {
					exchange.resumeReading();
				},
				onPart(bytes) {
					exchange.receivePart(bytes);
				},
				discard() {
					exchange.discard(request);
				},
			},
			(result) => {
				exchange.whenStalled(undefined);
				bodyHandlers[result.kind](result as never);
			},
		);
		exchange.whenStalled(refuseStalled);
	};

	const handle = (
		request: IncomingMessage,
		exchange: CallerExchange,
		{headers, body, bodyHold, arrivedAt}: ReceivedRequest,
	) => {
		if (!exchange.accept()) {
			bodyHold?.release();
			return;
		}

		// For a caller that leaves before the start.
		exchange.whenLeft(() => bodyHold?.release());
		exchange.start(() => {
			forward(request, exchange, {headers, body, bodyHold, arrivedAt});
		});
	};

	const forward = (
		request: IncomingMessage,
		exchange: CallerExchange,
		{headers, body, bodyHold, arrivedAt}: ReceivedRequest,
	) => {
		const timeLeft = Number(headers.timeLeft);
		headers.endToEnd.push(headerNames.callerService, options.callerService());
		const leave = options.entry.handle(
			{
				requestId: headers.requestId,
				method: request.method ?? 'GET',
				host: headers.host ?? '',
				path: request.url ?? '/',
				headers: headers.endToEnd,
				body,
				bodyHold,
				workspaceKey: headers.workspaceKey,
				arrivedAt,
				timeLeft:
					Number.isFinite(timeLeft) && timeLeft > 0 ? timeLeft : undefined,
			},
			(final) => {
				bodyHold?.release();
				respond(exchange, final);
			},
		);
		// The answer may be available before `handle` has returned its leave callback.
		if (!exchange.isAnswered) {
			exchange.whenLeft(() => {
				bodyHold?.release();
				leave();
			});
		}
	};

	const respond = (exchange: CallerExchange, final: FinalAnswer) => {
		exchange.answer();
		if (exchange.response.destroyed) {
			if (final.kind === 'target') {
				final.stream?.cancel();
			}

			return;
		}

		if (options.isStopping()) {
			exchange.closeAfter('closingAnswer');
		}

		write(exchange, final);
	};

	return {
		listen: async (address) => listenOn(server, address),
		applyLimits(changed) {
			if (changed.idleTime !== limits.idleTime) {
				connections.renewIdleTime(changed.idleTime);
			}

			limits = changed;
			applyToServer();
		},
		pending: connections.pending,
		ending: connections.ending,
		receiving: connections.receiving,
		refuseStalled() {
			connections.refuseStalled(budget.isAwaited);
		},
		close() {
			server.close();
			connections.close();
		},
	};
}
