/**
 * Requests to the target beside this node, over connections that are kept open.
 *
 * A connection can hand out what belongs to no request: a second answer, an
 * answer that was cut short, bytes that are no answer. The caller would get
 * somebody else's data as a success. So an answer counts only when it repeats
 * the request's id, is whole by its framing, and a success bears the target's
 * signature; anything else ends the connection, and the request is lost.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {ForwardedRequest, Outcome, RefusalReason} from './exchange.js';
import {filterEndToEnd, type HeaderNames} from './header-names.js';
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

/** Calls one target. */
export type TargetClient = {
	run(
		request: ForwardedRequest,
		timeLeft: number,
		onOutcome: (outcome: Outcome) => void,
	): () => void;
	/** Closes what is idle now, and the rest as its requests end. */
	close(): void;
};

/** What a client needs besides its endpoint. */
export type TargetClientOptions = {
	endpoint: TargetEndpoint;
	headerNames: HeaderNames;
	/** The target answered that it is another one than the expected. */
	onReplaced: () => void;
	/** No connection could be opened. */
	onUnreachable: (detail: string) => void;
};

/** The status of a target that is another one than the expected, and did not run the request (RFC 9110, section 15.5.20). */
const misdirectedStatus = 421;
/** The largest answer that is held in memory, in bytes. */
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
	{headerNames, onReplaced, onUnreachable}: TargetClientOptions,
	connection: TargetConnection,
	onOutcome: (outcome: Outcome) => void,
): Exchange {
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

	const endWhole = () => {
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
		controller?.abort(new Error('the answer is not wanted'));
	};

	return {
		handler: {
			onRequestStart(started) {
				controller = started;
				if (isOver) {
					started.abort(new Error('given up before it was sent'));
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
					endWhole();
					return;
				}

				connection.checkCleanClose((wasClosed) => {
					connection.release();
					if (wasClosed) {
						endWhole();
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
			controller?.abort(new Error('the caller has gone'));
		},
	};
}

/** Answers that end with their headers, whatever these say (RFC 9112, section 6.3). */
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

/** `undici` takes Node's own kind of bytes; nothing is copied. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the library's type.
function toBuffer(bytes: Uint8Array): Buffer {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
