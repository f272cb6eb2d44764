/** The HTTP client of the local target, based on undici. */
import {Buffer} from 'node:buffer';
import {Agent, errors, type Dispatcher} from 'undici';
import {headerNames, type CallRequest} from '@egretspoke/protocol';
import {probeListening} from '@egretspoke/shared';
import type {TargetClient, TargetResult} from './target-client.js';
import {
	createTargetConnector,
	type TargetConnector,
} from './target-connector.js';

/** Options of the client. */
export type HttpTargetOptions = {
	/** `ip:port` of the target. */
	address: string;
	/** Connections that the target accepts; never exceeded. */
	connections: number;
	/** The largest answer body in bytes. */
	bodyLimit: number;
};

/** Headers that belong to one connection and aren't forwarded. */
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'content-length',
	'expect',
]);

/** The highest status that HTTP defines (RFC 9110, section 15). */
const maxStatus = 599;
/** Statuses of responses that end with their headers (RFC 9112, section 6.3). */
const bodilessStatuses = new Set([204, 304]);

/** Bytes of a response beside its body; the framing of many small chunks is covered by twice the body's limit. */
const maxFraming = 1024 * 1024;

/** Creates a client with its own pool of connections to the target. */
export function createHttpTargetClient(
	options: HttpTargetOptions,
): TargetClient & {close(): Promise<void>} {
	const connector = createTargetConnector(2 * options.bodyLimit + maxFraming);
	const agent = new Agent({
		connect: connector.connect,
		connections: options.connections,
		pipelining: 1,
		bodyTimeout: 0,
		headersTimeout: 0,
		maxResponseSize: options.bodyLimit,
	});
	return {
		async send(request, timeLeft, signal) {
			const exchange = {
				origin: `http://${options.address}`,
				path: request.path,
				method: request.method,
				headers: writeHeaders(request, timeLeft),
				body: request.body.length === 0 ? null : request.body,
			};
			return dispatch({agent, connector}, exchange, signal);
		},
		isListening: async () =>
			new Promise((resolve) => {
				probeListening(options.address, resolve);
			}),
		async close() {
			await agent.close();
		},
	};
}

/** Adds the headers with the request id, class, remaining time and attempts. */
function writeHeaders(
	request: CallRequest,
	timeLeft: number,
): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (!connectionHeaders.has(name)) {
			headers[name] = value;
		}
	}

	headers[headerNames.request] = request.id;
	headers[headerNames.service] = request.service;
	headers[headerNames.requestClass] = request.requestClass;
	headers[headerNames.caller] = request.caller;
	headers[headerNames.deadline] = String(Math.floor(timeLeft));
	headers[headerNames.attempts] = String(request.attempts);
	return headers;
}

/** One exchange, implemented directly on `dispatch` of undici, without streams in between. */
async function dispatch(
	{agent, connector}: {agent: Agent; connector: TargetConnector},
	exchange: Dispatcher.DispatchOptions & {headers: Record<string, string>},
	signal: AbortSignal,
): Promise<TargetResult> {
	return new Promise((resolve) => {
		let isConnected = false;
		let status = 0;
		let headers: Record<string, string> = {};
		let endsWithConnection = false;
		let controller: Dispatcher.DispatchController | undefined;
		const chunks: Uint8Array[] = [];

		const abort = (detail: string) => {
			controller?.abort(new Error(detail));
			finish({kind: 'lost', detail});
		};

		const cancel = () => {
			abort('cancelled');
		};

		const finish = (result: TargetResult) => {
			signal.removeEventListener('abort', cancel);
			resolve(result);
		};

		signal.addEventListener('abort', cancel);
		agent.dispatch(exchange, {
			onRequestStart(started) {
				isConnected = true;
				controller = started;
				if (signal.aborted) {
					started.abort(new Error('cancelled'));
				}
			},
			onResponseStart(_controller, statusCode, incoming) {
				if (isForeign(incoming, exchange.headers)) {
					abort('the response belongs to another request');
					return;
				}

				if (hasOtherCoding(incoming['transfer-encoding'])) {
					abort('the response has a transfer coding that was not offered');
					return;
				}

				if (statusCode > maxStatus) {
					abort(`the response has the status ${statusCode}`);
					return;
				}

				status = statusCode;
				headers = readHeaders(incoming);
				endsWithConnection =
					exchange.method !== 'HEAD' &&
					!bodilessStatuses.has(statusCode) &&
					incoming['content-length'] === undefined &&
					incoming['transfer-encoding'] === undefined;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
			},
			onResponseEnd() {
				// Undici takes a reset for the end of such a response, too.
				if (endsWithConnection && !connector.isEnding()) {
					finish({kind: 'cut', detail: 'the connection was reset'});
					return;
				}

				finish(readResult(status, headers, Buffer.concat(chunks)));
			},
			onResponseError(_controller, error) {
				finish(
					isWholeDespite(error, status)
						? readResult(status, headers, Buffer.concat(chunks))
						: readFailure(isConnected, status, error),
				);
			},
		});
	});
}

/**
 * Whether a response names another request than the one that was sent: a target
 * that sends a response twice may send the copy where the next one is expected.
 */
function isForeign(
	received: Record<string, string | string[] | undefined>,
	sent: Record<string, string>,
): boolean {
	const id = received[headerNames.request];
	return id !== undefined && id !== sent[headerNames.request];
}

/**
 * Whether a transfer coding other than a single `chunked` is applied. The header
 * that names it is not forwarded, so the coded bytes would pass for the body.
 */
function hasOtherCoding(coding: string | string[] | undefined): boolean {
	return (
		coding !== undefined &&
		(Array.isArray(coding) || coding.trim().toLowerCase() !== 'chunked')
	);
}

function readResult(
	status: number,
	headers: Record<string, string>,
	body: Uint8Array,
): TargetResult {
	if (headers[headerNames.shed] !== 'not-run') {
		return {kind: 'answer', answer: {status, headers, body}};
	}

	const seconds = Number(headers[headerNames.standardRetryAfter]);
	return Number.isFinite(seconds)
		? {kind: 'shed', retryAfter: seconds * 1000}
		: {kind: 'shed'};
}

/**
 * Whether undici reports a response as short of its length that has no body by
 * its status; a 304 states the length of the body that a 200 would have had (RFC
 * 9110, section 15.4.5).
 */
function isWholeDespite(error: Error, status: number): boolean {
	return (
		bodilessStatuses.has(status) &&
		error instanceof errors.ResponseContentLengthMismatchError
	);
}

/**
 * Without an established connection nothing was sent, so nothing ran. Later
 * errors may have occurred after the request reached the target.
 */
function readFailure(
	isConnected: boolean,
	status: number,
	error: Error,
): TargetResult {
	if (!isConnected) {
		return {kind: 'unreachable', detail: error.message};
	}

	return status === 0
		? {kind: 'lost', detail: error.message}
		: {kind: 'cut', detail: error.message};
}

function readHeaders(
	incoming: Record<string, string | string[] | undefined>,
): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(incoming)) {
		if (value !== undefined && !connectionHeaders.has(name)) {
			headers[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return headers;
}
