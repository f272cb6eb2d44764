/**
 * HTTP client for the local target, over persistent connections.
 *
 * A connection can deliver bytes that belong to no request: a second answer, a
 * truncated one, or invalid data. A caller would then receive another caller's
 * data as a success. So an answer is accepted only if it repeats the request's
 * id, is complete by its framing, and, if it is a success, carries the target's
 * signature. Otherwise the connection is closed and the request counts as lost.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {
	ForwardedRequest,
	Outcome,
	RefusalReason,
} from '../links/exchange.js';
import {
	filterEndToEnd,
	type HeaderNames,
} from '../configuration/header-names.js';
import {readTargetNotice, type TargetNotice} from './target-notice.js';
import {
	createTargetConnections,
	type TargetConnection,
} from './target-connections.js';

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
	/** The target answered that it is not the expected one. */
	onReplaced: () => void;
	/** No connection could be opened. */
	onUnreachable: (detail: string) => void;
	/** Returns the ordinal of the next request to the target. */
	nextOrdinal: () => number;
	/** An answer arrived; `ordinal` is that of its request. */
	onNotice: (notice: TargetNotice, ordinal: number) => void;
};

/** The status of a target that is not the expected one and did not run the request (RFC 9110, section 15.5.20). */
const misdirectedStatus = 421;
/** Maximum size of an answer's body, which is buffered in memory, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Creates the client of a target. */
export function createTargetClient(options: TargetClientOptions): TargetClient {
	const {endpoint, headerNames} = options;
	const connections = createTargetConnections(endpoint.address);

	return {
		run(request, timeLeft, onOutcome) {
			const connection = connections.take();
			const exchange = createExchange(request, options, connection, onOutcome);
			const headers = [
				...request.headers,
				headerNames.timeLeft,
				String(Math.floor(timeLeft)),
				headerNames.expectedTarget,
				endpoint.targetId,
			];
			connection.dispatch(
				{
					method: request.method,
					path: request.path,
					headers,
					body: request.body ? toBuffer(request.body) : null,
				},
				exchange.handler,
			);
			return exchange.cancel;
		},
		close() {
			connections.close();
		},
	};
}

type Exchange = {handler: Dispatcher.DispatchHandler; cancel: () => void};

const noHeaders: ReadonlySet<string> = new Set();

function createExchange(
	request: ForwardedRequest,
	options: TargetClientOptions,
	connection: TargetConnection,
	onOutcome: (outcome: Outcome) => void,
): Exchange {
	const {headerNames, onReplaced, onUnreachable} = options;
	const ordinal = options.nextOrdinal();
	let controller: Dispatcher.DispatchController | undefined;
	let isOver = false;
	let isWritten = false;
	let status = 0;
	let headers: string[] = [];
	let isDeclined = false;
	let isFramed = false;
	let size = 0;
	const chunks: Uint8Array[] = [];

	const end = (outcome: Outcome) => {
		if (!isOver) {
			isOver = true;
			onOutcome(outcome);
		}
	};

	const endComplete = () => {
		if (status === misdirectedStatus) {
			onReplaced();
		}

		end(
			isDeclined
				? {kind: 'declined', status}
				: {
						kind: 'answered',
						status,
						headers: filterEndToEnd(headers, noHeaders),
						body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
					},
		);
	};

	const abortExchange = (outcome: Outcome) => {
		end(outcome);
		controller?.abort(new Error('answer rejected'));
	};

	return {
		handler: {
			onRequestStart(started) {
				controller = started;
				if (isOver) {
					started.abort(new Error('request cancelled before it was sent'));
					return;
				}

				isWritten = true;
			},
			onResponseStart(_controller, statusCode, received) {
				if (statusCode < 200) {
					return;
				}

				if (received[headerNames.requestId] !== request.requestId) {
					abortExchange({kind: 'lost', reason: 'answerForeign'});
					return;
				}

				status = statusCode;
				isDeclined =
					received[headerNames.notExecuted] !== undefined ||
					statusCode === misdirectedStatus;
				isFramed =
					hasNoBody(request.method, statusCode) ||
					received['content-length'] !== undefined ||
					received['transfer-encoding'] !== undefined;
				headers = flatten(received);
				const isSuccess = statusCode < 300;
				if (isSuccess && received[headerNames.signature] === undefined) {
					abortExchange({kind: 'lost', reason: 'answerUnsigned'});
					return;
				}

				// An answer of another target says nothing about this one.
				if (status !== misdirectedStatus) {
					options.onNotice(readTargetNotice(received, headerNames), ordinal);
				}
			},
			onResponseData(_controller, chunk) {
				size += chunk.length;
				chunks.push(chunk);
				if (size > maxAnswerBytes) {
					abortExchange({kind: 'lost', reason: 'answerCut'});
				}
			},
			onResponseEnd() {
				if (isFramed) {
					connection.release();
					endComplete();
					return;
				}

				connection.checkCleanClose((wasClosed) => {
					connection.release();
					if (wasClosed) {
						endComplete();
					} else {
						end({kind: 'lost', reason: 'answerCut'});
					}
				});
			},
			onResponseError(_controller, error) {
				connection.release();
				if (isWritten) {
					end({
						kind: 'lost',
						reason: status === 0 ? 'connectionLost' : 'answerCut',
					});
					return;
				}

				const reason: RefusalReason = 'targetUnreachable';
				if (!isOver) {
					onUnreachable(error.message);
				}

				end({kind: 'refused', reason});
			},
		},
		cancel() {
			isOver = true;
			controller?.abort(new Error('caller disconnected'));
		},
	};
}

/** Whether an answer has no body, regardless of its framing headers (RFC 9112, section 6.3). */
function hasNoBody(method: string, status: number): boolean {
	return method === 'HEAD' || status === 204 || status === 304;
}

function flatten(
	headers: Record<string, string | string[] | undefined>,
): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const item of Array.isArray(value) ? value : [value ?? '']) {
			flat.push(name, item);
		}
	}

	return flat;
}

/** Converts bytes to the `Buffer` that `undici` requires, without copying. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the library's type.
function toBuffer(bytes: Uint8Array): Buffer {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
