/** Writes final answers to callers, and counts what they have not read yet. */
import type {CallerExchange, Clock, Timer} from '@egretspoke/shared';
import type {BodyStream} from '../bodies/body-stream.js';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import type {FinalAnswer, OwnAnswer} from './caller-request.js';

/** Dependencies of a writer. */
export type ResponseWriterOptions = {
	clock: Clock;
	budget: MemoryBudget;
	/** Milliseconds without progress after which a response in parts is cut off. */
	stallTimeout: () => number;
};

/** Writes an answer; the exchange was told that it is being answered. */
export type ResponseWriter = (
	exchange: CallerExchange,
	final: FinalAnswer,
) => void;

/** Size in bytes up to which a body is not counted: counting takes a listener for each response. */
const uncountedBytes = 4096;

/** Stands for an answer that can't be written; the request has run. */
const invalidAnswer: OwnAnswer = {
	kind: 'own',
	status: 502,
	reason: 'answerInvalid',
};

/** Creates a writer. */
export function createResponseWriter(
	options: ResponseWriterOptions,
): ResponseWriter {
	const writers: {
		[Kind in FinalAnswer['kind']]: (
			exchange: CallerExchange,
			final: Extract<FinalAnswer, {kind: Kind}>,
		) => void;
	} = {
		target(exchange, {status, headers, body, stream}) {
			const {response} = exchange;
			if (stream) {
				const length =
					stream.size === undefined
						? []
						: ['Content-Length', String(stream.size)];
				response.writeHead(status, [...headers, ...length]);
				writeStream(exchange, stream, options);
				return;
			}

			count(exchange, body.byteLength, options.budget);
			const length = isBodiless(response.req.method, status)
				? []
				: ['Content-Length', String(body.byteLength)];
			response.writeHead(status, [...headers, ...length]);
			response.end(body);
		},
		own({response}, {status, reason, retryAfter}) {
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

	return (exchange, final) => {
		try {
			writers[final.kind](exchange, final as never);
		} catch {
			// Node refuses a header that came over a link; without a response the caller would wait until its timeout.
			if (final.kind === 'target') {
				final.stream?.cancel();
			}

			if (exchange.response.headersSent) {
				exchange.response.destroy();
			} else {
				writers.own(exchange, invalidAnswer);
			}
		}
	};
}

/**
 * Whether an answer has no body by its method or status. A length of 0 would state
 * the size of the body that is left out (RFC 9110, section 8.6).
 */
function isBodiless(method: string | undefined, status: number): boolean {
	return method === 'HEAD' || status === 204 || status === 304;
}

/** Counts the bytes of a response until it is sent or its connection is closed. */
function count(
	exchange: CallerExchange,
	bytes: number,
	budget: MemoryBudget,
): void {
	if (bytes > uncountedBytes) {
		budget.add('responses', bytes);
		exchange.countUnsent(bytes, () => {
			budget.remove('responses', bytes);
			if (!exchange.response.writableFinished) {
				budget.dropBody(bytes);
			}
		});
	}
}

/** Writes a body while it arrives. */
function writeStream(
	exchange: CallerExchange,
	stream: BodyStream,
	{clock, stallTimeout}: ResponseWriterOptions,
): void {
	const {response} = exchange;
	/** Whether the end of the connection would end the body, as for a caller of HTTP/1.0. */
	const endsWithConnection =
		stream.size === undefined && !response.chunkedEncoding;
	let hasProgress = true;
	let timer: Timer | undefined;

	const checkProgress = () => {
		// Without a socket, the answers to earlier requests on the connection are being sent.
		if (hasProgress || response.socket === null) {
			hasProgress = false;
			timer = clock.setTimer(stallTimeout(), checkProgress);
		} else {
			breakOff();
		}
	};

	/** Ends the connection so that the body does not look complete. */
	const breakOff = () => {
		if (endsWithConnection) {
			response.socket?.resetAndDestroy();
		} else {
			response.destroy();
		}
	};

	const cut = () => {
		timer?.cancel();
		if (response.socket === null) {
			// Closing the connection now would take the answers to earlier requests with it.
			response.once('socket', cut);
		} else {
			breakOff();
		}
	};

	exchange.whenLeft(() => {
		timer?.cancel();
		stream.cancel();
	});
	checkProgress();
	stream.read({
		onPart(part) {
			response.write(part, () => {
				hasProgress = true;
				stream.release(part.byteLength);
			});
		},
		onEnd() {
			timer?.cancel();
			response.end();
		},
		onCut: cut,
	});
}
