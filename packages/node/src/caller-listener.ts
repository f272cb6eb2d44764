/**
 * The HTTP listener for callers, with one task per connection: each request is
 * read completely within its limits and answered once.
 */
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {ErrorCode, type TargetAnnouncement} from '@egretspoke/protocol';
import {createBodyBudget, type BodyBudget} from './body-budget.js';
import {writeOutcome} from './caller-answer.js';
import type {CallerEntry, CallerOutcome} from './caller-request.js';
import {readBody, type BodyFault} from './request-body.js';
import {readCallerRequest} from './caller-request-reader.js';
import {refuseAsNotRun} from './entry-refusal.js';
import type {NodeReporter} from './node-reporter.js';
import {isAnnouncement, readAnnouncement} from './target-announcement.js';
import {listen} from './web-socket-transport.js';

/** Bounds of the listener; times in milliseconds, sizes in bytes. */
export type CallerListenerOptions = {
	entry: CallerEntry;
	reporter: NodeReporter;
	bodyLimit: number;
	/** Maximum total of the bodies held at the same time. */
	bufferLimit: number;
	headerLimit: number;
	connectionLimit: number;
	/** Maximum time for a whole request to arrive; a slower sender is disconnected. */
	requestTimeout: number;
	/** Called with each announcement of the local target. */
	announce(announcement: TargetAnnouncement): void;
};

/** The listener. */
export type CallerListener = {
	listen(host: string, port: number): Promise<number>;
	/** Accepts no new connections, and closes each open one after its answer. */
	drain(): void;
	close(): Promise<void>;
};

/**
 * Keep-alive timeout in milliseconds. It is longer than that of clients, so that
 * the client closes first and no request is sent on a closing socket.
 */
const keepAliveTimeoutMs = 65_000;

/** Creates the listener; nothing listens until `listen`. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	let isDraining = false;
	const budget = createBodyBudget(options.bufferLimit);
	const server = createServer(
		{
			maxHeaderSize: options.headerLimit,
			requestTimeout: options.requestTimeout,
			headersTimeout: options.requestTimeout,
			connectionsCheckingInterval: Math.max(100, options.requestTimeout / 4),
			keepAliveTimeout: keepAliveTimeoutMs,
		},
		(request, response) => {
			if (isDraining) {
				response.setHeader('connection', 'close');
			}

			void serve(request, response, options, budget);
		},
	);
	server.maxConnections = options.connectionLimit;
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		options.reporter.recordEvent({
			name: 'malformedRequest',
			fault: error.code ?? 'unknown',
		});
		if (socket.writable) {
			socket.end(clientErrorAnswers[error.code ?? ''] ?? malformedAnswer);
		}
	});

	return {
		async listen(host, port) {
			return listen(server, host, port);
		},
		drain() {
			isDraining = true;
			server.close();
			server.closeIdleConnections();
		},
		async close() {
			await closeServer(server);
		},
	};
}

/** Closes a server and every connection to it. */
export async function closeServer(server: Server): Promise<void> {
	const closed = server.listening ? once(server, 'close') : undefined;
	server.close();
	server.closeAllConnections();
	await closed;
}

const malformedAnswer = rawAnswer(
	'400 Bad Request',
	ErrorCode.MalformedRequest,
);

/** Raw answers to errors of the HTTP parser, which occur before there is a request object. */
const clientErrorAnswers: Record<string, string> = {
	// eslint-disable-next-line @typescript-eslint/naming-convention -- Node's error codes.
	HPE_HEADER_OVERFLOW: rawAnswer(
		'431 Request Header Fields Too Large',
		ErrorCode.TooLarge,
	),
	// eslint-disable-next-line @typescript-eslint/naming-convention -- Node's error codes.
	ERR_HTTP_REQUEST_TIMEOUT: rawAnswer(
		'408 Request Timeout',
		ErrorCode.MalformedRequest,
	),
};

function rawAnswer(status: string, code: ErrorCode): string {
	return (
		`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n` +
		`egretspoke-outcome: not-run\r\negretspoke-error: ${code} ${ErrorCode[code]}\r\n\r\n`
	);
}

async function serve(
	request: IncomingMessage,
	response: ServerResponse,
	options: CallerListenerOptions,
	budget: BodyBudget,
): Promise<void> {
	const gone = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			gone.abort();
		}
	});
	if (isAnnouncement(request)) {
		await receiveAnnouncement(request, response, options);
		return;
	}

	const outcome = await answer(request, options, budget, gone.signal);
	writeOutcome(response, outcome);
}

async function receiveAnnouncement(
	request: IncomingMessage,
	response: ServerResponse,
	{announce, bodyLimit, reporter}: CallerListenerOptions,
): Promise<void> {
	const body = await readBody(request, bodyLimit);
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

async function answer(
	request: IncomingMessage,
	options: CallerListenerOptions,
	budget: BodyBudget,
	signal: AbortSignal,
): Promise<CallerOutcome> {
	const body = await readBody(request, options.bodyLimit, budget);
	if (body.isErr()) {
		options.reporter.recordEvent({name: 'malformedRequest', fault: body.error});
		const {code, retryAfter} = bodyRefusals[body.error];
		return {request: 'none', outcome: refuseAsNotRun(code, retryAfter)};
	}

	const {length} = body.value;
	const outcome = await handle(request, body.value, options, signal);
	budget.release(length);
	return outcome;
}

/**
 * Retry-After in milliseconds for an upload that doesn't fit into the body
 * budget; most bodies have been released by then.
 */
const bufferFullRetryAfterMs = 1000;

const bodyRefusals: Record<BodyFault, {code: ErrorCode; retryAfter?: number}> =
	{
		tooLarge: {code: ErrorCode.TooLarge},
		cutShort: {code: ErrorCode.MalformedRequest},
		noRoom: {code: ErrorCode.Overloaded, retryAfter: bufferFullRetryAfterMs},
	};

async function handle(
	request: IncomingMessage,
	body: Uint8Array,
	options: CallerListenerOptions,
	signal: AbortSignal,
): Promise<CallerOutcome> {
	const read = readCallerRequest(request, body);
	if (read.isErr()) {
		options.reporter.recordEvent({name: 'malformedRequest', fault: 'header'});
		const detail = read.error.join('; ');
		return {
			request: 'none',
			outcome: refuseAsNotRun(ErrorCode.MalformedRequest, undefined, detail),
		};
	}

	try {
		return await options.entry.handle(read.value, signal);
	} catch (error) {
		// The request may have been handed over before the error.
		return {
			request: read.value.id ?? 'none',
			outcome: {
				kind: 'unknown',
				refusal: {code: ErrorCode.Internal, detail: String(error)},
			},
		};
	}
}
