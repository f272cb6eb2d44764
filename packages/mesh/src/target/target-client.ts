/**
 * HTTP client for the local target, over persistent connections.
 *
 * A connection can deliver bytes that belong to no request: a second answer, a
 * truncated one, or invalid data. A caller would then receive another caller's
 * data as a success. So an answer is accepted only if it repeats the request's
 * id, is complete by its framing, and, if it is a success, carries the target's
 * signature. An answer with another id is skipped: it is a late copy, and the
 * answer to the request may still follow. In all other cases the connection is
 * closed and the request counts as lost.
 */
import {Buffer} from 'node:buffer';
import type {Clock} from '@egretspoke/shared';
import {createBodyStream, type OpenBodyStream} from '../bodies/body-stream.js';
import {
	largeBody,
	type MemoryBudget,
} from '../decisions/memory/memory-budget.js';
import type {
	ForwardedRequest,
	Outcome,
	RefusalReason,
} from '../links/exchange.js';
import {
	dropNamed,
	isConnectionHeader,
	listNamed,
	type HeaderNames,
} from '../configuration/header-names.js';
import {createTargetNotice, type TargetNotice} from './target-notice.js';
import type {HttpExchange} from './target-connection.js';
import {createTargetConnections} from './target-connections.js';

/** The target to call. */
export type TargetEndpoint = {
	/** `ip:port`. */
	address: string;
	targetId: string;
};

/** The client of one target. */
export type TargetClient = {
	run(
		request: ForwardedRequest,
		timeLeft: number,
		onOutcome: (outcome: Outcome) => void,
	): () => void;
	/** Closes idle connections now, and the others when their requests end. */
	close(): void;
};

/** Dependencies of a client. */
export type TargetClientOptions = {
	endpoint: TargetEndpoint;
	headerNames: HeaderNames;
	clock: Clock;
	budget: MemoryBudget;
	/** The target answered that it is not the expected one. */
	onReplaced: () => void;
	/** No connection could be opened. */
	onUnreachable: (detail: string) => void;
	/** Returns the ordinal of the next request to the target. */
	nextOrdinal: () => number;
	/** An answer arrived; `ordinal` is that of its request. */
	onNotice: (notice: TargetNotice, ordinal: number) => void;
	/** A connection to the target begins to open. */
	onConnect: () => void;
	/** A response to another request arrived where the one to `requestId` was expected. */
	onForeignResponse: (requestId: string, response: ForeignResponse) => void;
};

/** A response to another request than the awaited one. */
export type ForeignResponse = {status: number; responseTo: string};

/** The status of a target that is not the expected one and did not run the request (RFC 9110, section 15.5.20). */
const misdirectedStatus = 421;

/** Maximum idle time of a connection in milliseconds, unless the target states one. */
const defaultIdleTime = 4000;
/** Milliseconds before the end of the idle time that the target states; a request sent later could meet the close. */
const idleMargin = 2000;
/** Maximum idle time that a target can state, in milliseconds. */
const maxIdleTime = 600_000;
/** Methods whose requests state the length of their body even if it is empty (RFC 9110, section 8.6). */
const methodsWithBody = new Set(['PATCH', 'POST', 'PUT']);
/** Characters that would end a header, or that Latin-1 cannot represent. */
const invalidText = /[^\t\u0020-\u007E\u0080-\u00FF]/;
const invalidPath = /[^\u0021-\u00FF]/;

/** Creates the client of a target. */
export function createTargetClient(options: TargetClientOptions): TargetClient {
	const {endpoint, headerNames, clock} = options;
	const connections = createTargetConnections({
		address: endpoint.address,
		clock,
		onOpen: options.onConnect,
	});
	const readHeaders = createHeaderReader(headerNames);

	return {
		run(request, timeLeft, onOutcome) {
			const ordinal = options.nextOrdinal();
			if (!isValid(request)) {
				onOutcome(unreachable);
				return () => undefined;
			}

			const exchange = createExchange(
				{request, ordinal, head: createHead(request, timeLeft, options)},
				options,
				readHeaders,
				onOutcome,
			);
			connections.send(exchange);
			return () => {
				exchange.isCancelled = true;
				exchange.abort?.();
			};
		},
		close() {
			connections.close();
		},
	};
}

const unreachable: Outcome = {
	kind: 'refused',
	reason: 'targetUnreachable' satisfies RefusalReason,
};

/** Whether the parts of the request can be written without a second reading. */
function isValid({method, path, headers}: ForwardedRequest): boolean {
	return (
		!invalidPath.test(method) &&
		!invalidPath.test(path) &&
		!invalidText.test(headers.join(''))
	);
}

function createHead(
	{method, path, headers, body}: ForwardedRequest,
	timeLeft: number,
	{endpoint, headerNames}: TargetClientOptions,
): string {
	let head = `${method} ${path} HTTP/1.1\r\nConnection: ${method === 'HEAD' ? 'close' : 'keep-alive'}\r\n`;
	let hasHost = false;
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!;
		hasHost ||= name.length === 4 && name.toLowerCase() === 'host';
		head += `${name}: ${headers[index + 1]!}\r\n`;
	}

	if (!hasHost) {
		head += `Host: ${endpoint.address}\r\n`;
	}

	const length = body?.byteLength ?? 0;
	if (length > 0 || methodsWithBody.has(method)) {
		head += `Content-Length: ${length}\r\n`;
	}

	return `${head}${headerNames.timeLeft}: ${Math.floor(timeLeft)}\r\n${headerNames.expectedTarget}: ${endpoint.targetId}\r\n\r\n`;
}

/** What is read from the headers of an answer. */
type AnswerHeaders = {
	/** End-to-end headers, names and values alternating. */
	endToEnd: string[];
	/** Undefined if missing or repeated. */
	requestId: string | undefined;
	isSigned: boolean;
	isNotExecuted: boolean;
	idleTime: number;
	/** Undefined unless stated. */
	bodySize: number | undefined;
	/** Repeated headers are joined with a comma (RFC 9110, section 5.3). */
	rateLimit: string | undefined;
	leaving: string[] | undefined;
};

/** Returns a function that reads the headers of an answer in one pass. */
function createHeaderReader(
	names: HeaderNames,
): (headers: string[]) => AnswerHeaders {
	/** What a header with the lower-case name changes. */
	const readers = new Map<string, (read: AnswerHeaders, value: string) => void>(
		[
			[
				names.signature,
				(read) => {
					read.isSigned = true;
				},
			],
			[
				names.notExecuted,
				(read) => {
					read.isNotExecuted = true;
				},
			],
			[
				names.rateLimit,
				(read, value) => {
					read.rateLimit =
						read.rateLimit === undefined
							? value
							: `${read.rateLimit}, ${value}`;
				},
			],
			[
				names.leaving,
				(read, value) => {
					read.leaving = [...(read.leaving ?? []), value];
				},
			],
			[
				'content-length',
				(read, value) => {
					read.bodySize = Number(value);
				},
			],
			[
				'keep-alive',
				(read, value) => {
					read.idleTime = readIdleTime(value);
				},
			],
		],
	);

	return (headers) => {
		const read: AnswerHeaders = {
			endToEnd: [],
			requestId: undefined,
			isSigned: false,
			isNotExecuted: false,
			idleTime: defaultIdleTime,
			bodySize: undefined,
			rateLimit: undefined,
			leaving: undefined,
		};
		let named: Set<string> | undefined;
		let ids = 0;
		for (let index = 0; index < headers.length; index += 2) {
			const name = headers[index]!.toLowerCase();
			const value = headers[index + 1]!;
			if (name === names.requestId) {
				ids++;
				read.requestId = ids === 1 ? value : undefined;
			} else if (name === 'connection') {
				named = listNamed(value, named);
			} else {
				readers.get(name)?.(read, value);
			}

			if (!isConnectionHeader(name)) {
				read.endToEnd.push(headers[index]!, value);
			}
		}

		if (named) {
			read.endToEnd = dropNamed(read.endToEnd, named);
		}

		return read;
	};
}

/** Returns how long a connection may idle, in milliseconds, by the `Keep-Alive` header; 0 or less if it may not. */
function readIdleTime(value: string): number {
	const seconds = /timeout=(\d+)/.exec(value)?.[1];
	return seconds === undefined
		? defaultIdleTime
		: Math.min(Number(seconds) * 1000 - idleMargin, maxIdleTime);
}

function createExchange(
	{
		request,
		ordinal,
		head,
	}: {request: ForwardedRequest; ordinal: number; head: string},
	options: TargetClientOptions,
	readHeaders: (headers: string[]) => AnswerHeaders,
	onOutcome: (outcome: Outcome) => void,
): HttpExchange {
	let status = 0;
	let answer: AnswerHeaders | undefined;
	let size = 0;
	let body: Uint8Array = noBody;
	let parts: Uint8Array[] | undefined;
	let stream: OpenBodyStream | undefined;

	/** Passes a large body on while it arrives. */
	const openStream = (exchange: HttpExchange) => {
		stream = createBodyStream(answer!.bodySize, options.budget, {
			setPaused(isPaused) {
				exchange.setPaused?.(isPaused);
			},
			cancel() {
				exchange.abort?.();
			},
		});
		for (const part of parts ?? [body]) {
			stream.push(part);
		}

		parts = undefined;
		body = noBody;
		onOutcome({
			kind: 'answered',
			status,
			headers: answer!.endToEnd,
			body: noBody,
			stream,
		});
	};

	return {
		requestId: request.requestId,
		head,
		body: request.body?.byteLength ? request.body : undefined,
		isHeadRequest: request.method === 'HEAD',
		isCancelled: false,
		abort: undefined,
		setPaused: undefined,
		idleTime: defaultIdleTime,
		isDeclined: false,
		onHead(received, headers) {
			const read = readHeaders(headers);
			if (read.requestId === undefined) {
				onOutcome({kind: 'lost', reason: 'answerForeign'});
				return 'invalid';
			}

			if (read.requestId !== request.requestId) {
				options.onForeignResponse(request.requestId, {
					status: received,
					responseTo: read.requestId,
				});
				return 'foreign';
			}

			if (received < 300 && !read.isSigned) {
				onOutcome({kind: 'lost', reason: 'answerUnsigned'});
				return 'invalid';
			}

			status = received;
			answer = read;
			this.idleTime = read.idleTime;
			this.isDeclined = read.isNotExecuted || status === misdirectedStatus;
			// An answer of another target says nothing about this one.
			if (status !== misdirectedStatus) {
				options.onNotice(
					createTargetNotice(read.rateLimit, read.leaving),
					ordinal,
				);
			}

			return 'accepted';
		},
		onBody(part) {
			if (stream) {
				stream.push(part);
				return;
			}

			size += part.byteLength;
			if (size === part.byteLength) {
				body = part;
			} else {
				parts ??= [body];
				parts.push(part);
			}

			if (size > largeBody) {
				if (this.isDeclined) {
					// Its body is not passed on.
					parts = undefined;
					body = noBody;
					size = 0;
				} else {
					openStream(this);
				}
			}
		},
		onComplete() {
			if (status === misdirectedStatus) {
				options.onReplaced();
			}

			if (stream) {
				stream.end();
				return;
			}

			onOutcome(
				this.isDeclined
					? {kind: 'declined', status}
					: {
							kind: 'answered',
							status,
							headers: answer!.endToEnd,
							body: parts ? Buffer.concat(parts) : body,
						},
			);
		},
		onLost() {
			if (stream) {
				stream.cut();
				return;
			}

			onOutcome({
				kind: 'lost',
				reason: status === 0 ? 'connectionLost' : 'answerCut',
			});
		},
		onUnreachable(detail) {
			options.onUnreachable(detail);
			onOutcome(unreachable);
		},
	};
}

const noBody = new Uint8Array();
