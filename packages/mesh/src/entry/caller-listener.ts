/**
 * The HTTP listener for local callers and for calls of the local target.
 *
 * Bodies are buffered before a request is forwarded, so that a caller that
 * stalls or disconnects during an upload holds no slot of a target.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {MeshMetrics} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {HeaderNames} from '../configuration/header-names.js';
import {listenOn} from '../listening.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {CallerLimits} from '../configuration/route.js';
import {
	createCallerHeaderReader,
	type CallerHeaders,
} from './caller-headers.js';
import type {FinalAnswer} from './caller-request.js';
import {ConnectionRecord} from './connection-record.js';
import type {Entry} from './entry.js';

/** Dependencies of the listener. */
export type CallerListenerOptions = {
	entry: Entry;
	clock: Clock;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'requestsCut'>;
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
	/** Closes idle connections. */
	drain(): void;
	close(): void;
};

/** Limits until a configuration is known: what Node allows by default. */
const defaultLimits: CallerLimits = {
	headerBytes: 16 * 1024,
	bodyBytes: 64 * 1024 * 1024,
	headerTime: 3000,
	idleTime: 15_000,
};
/** Maximum size of parsed headers, in bytes; the configured limit is checked afterwards. */
const maxParsedHeaderBytes = 256 * 1024;

/** A request whose body is complete. */
type ReceivedRequest = {
	headers: CallerHeaders;
	body: Uint8Array | undefined;
	/** Arrival time of the headers, on the clock. */
	arrivedAt: number;
};

/** Creates a listener that is not listening yet. */
export function createCallerListener(
	options: CallerListenerOptions,
): CallerListener {
	const {headerNames} = options;
	const readHeaders = createCallerHeaderReader(headerNames);
	let limits = defaultLimits;
	const connections = new Map<Socket, ConnectionRecord>();
	const server: Server = createServer(
		{
			keepAliveTimeout: limits.idleTime,
			maxHeaderSize: maxParsedHeaderBytes,
			noDelay: true,
		},
		(request, response) => {
			receive(request, response);
		},
	);
	server.requestTimeout = 0;
	server.headersTimeout = limits.headerTime + limits.idleTime;
	server.on('connection', (socket) => {
		const record = new ConnectionRecord(socket);
		connections.set(socket, record);
		socket.once('close', () => {
			connections.delete(socket);
			report(record);
			for (const leave of record.unanswered.values()) {
				leave();
			}
		});
	});
	/** Reports the requests without a complete answer on a connection that has ended. */
	const report = (record: ConnectionRecord) => {
		const cut = record.describeCut();
		if (cut) {
			options.metrics.requestsCut(cut.cause, cut.requests);
			options.reporter.notice('meshRequestsCut', {
				...cut,
				isStopping: options.isStopping(),
			});
		}
	};

	server.on('clientError', (error, stream) => {
		const socket = stream as Socket;
		const record = connections.get(socket);
		if (
			socket.writable &&
			!socket.destroyed &&
			socket.bytesRead > 0 &&
			(record?.unanswered.size ?? 0) === 0
		) {
			const status =
				(error as NodeJS.ErrnoException).code === 'HPE_HEADER_OVERFLOW'
					? 431
					: 400;
			options.reporter.notice('malformedRequest', {fault: error.message});
			socket.end(
				`HTTP/1.1 ${status} ${status === 431 ? 'Request Header Fields Too Large' : 'Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
			);
			return;
		}

		record?.setCause(
			(error as NodeJS.ErrnoException).code?.startsWith('HPE_')
				? 'malformedRequest'
				: 'caller',
		);
		socket.destroy();
	});

	const receive = (request: IncomingMessage, response: ServerResponse) => {
		const headers = readHeaders(request.rawHeaders, options.hasWorkspaces());
		if (headers.size > limits.headerBytes) {
			request.resume();
			response.writeHead(431, {connection: 'close'}).end();
			return;
		}

		const arrivedAt = options.clock.now();
		if (headers.hasBody) {
			receiveBody(request, response, headers, arrivedAt);
		} else {
			// Skips the empty body stream, which would cost six stream calls for each read request.
			handle(request, response, {headers, body: undefined, arrivedAt});
		}
	};

	const receiveBody = (
		request: IncomingMessage,
		response: ServerResponse,
		headers: CallerHeaders,
		arrivedAt: number,
	) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		let isTooLarge = false;
		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > limits.bodyBytes) {
				isTooLarge = true;
				chunks.length = 0;
				return;
			}

			chunks.push(chunk);
		});
		request.on('end', () => {
			if (isTooLarge) {
				response.writeHead(413, {connection: 'close'}).end();
				return;
			}

			handle(request, response, {
				headers,
				body: size === 0 ? undefined : joinParts(chunks),
				arrivedAt,
			});
		});
	};

	const handle = (
		request: IncomingMessage,
		response: ServerResponse,
		{headers, body, arrivedAt}: ReceivedRequest,
	) => {
		const timeLeft = Number(headers.timeLeft);
		headers.endToEnd.push(headerNames.callerService, options.callerService());
		// The answer may be available before `handle` has returned its leave callback.
		let isAnswered = false;
		const record = connections.get(request.socket);
		record?.add(response);
		const leave = options.entry.handle(
			{
				requestId: headers.requestId,
				method: request.method ?? 'GET',
				host: headers.host,
				path: request.url ?? '/',
				headers: headers.endToEnd,
				body,
				workspaceKey: headers.workspaceKey,
				arrivedAt,
				timeLeft:
					Number.isFinite(timeLeft) && timeLeft > 0 ? timeLeft : undefined,
			},
			(final) => {
				isAnswered = true;
				record?.unanswered.delete(response);
				respond(response, final);
			},
		);
		if (!isAnswered) {
			record?.unanswered.set(response, leave);
		}
	};

	const respond = (response: ServerResponse, final: FinalAnswer) => {
		if (response.destroyed) {
			return;
		}

		if (options.isStopping()) {
			response.shouldKeepAlive = false;
			connections.get(response.socket!)?.setCause('closingAnswer');
		}

		writers[final.kind](response, final as never);
	};

	const writers: {
		[Kind in FinalAnswer['kind']]: (
			response: ServerResponse,
			final: Extract<FinalAnswer, {kind: Kind}>,
		) => void;
	} = {
		target(response, {status, headers, body}) {
			response.writeHead(status, [
				...headers,
				'Content-Length',
				String(body.byteLength),
			]);
			response.end(body);
		},
		own(response, {status, reason, retryAfter}) {
			const text = `${reason}\n`;
			const headers = [
				'Content-Type',
				'text/plain',
				'Content-Length',
				String(text.length),
			];
			if (retryAfter !== undefined) {
				headers.push('Retry-After', (retryAfter / 1000).toFixed(3));
			}

			response.writeHead(status, headers);
			response.end(text);
		},
	};

	return {
		listen: async (address) => listenOn(server, address),
		applyLimits(changed) {
			limits = changed;
			server.keepAliveTimeout = changed.idleTime;
			server.headersTimeout = changed.headerTime + changed.idleTime;
		},
		drain() {
			server.closeIdleConnections();
		},
		close() {
			for (const record of connections.values()) {
				record.setCause('stop');
				report(record);
			}

			server.close();
			server.closeIdleConnections();
		},
	};
}

function joinParts(parts: Uint8Array[]): Uint8Array {
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
