/**
 * One HTTP exchange with the platform, and whether a failed one may have had an
 * effect. A client that reported every failure as "unavailable" would repeat a
 * write that took effect, or report to an operator that a configuration was not
 * accepted although it is in force.
 */
import {Readable} from 'node:stream';
import type {Clock} from '@egretspoke/shared';
import {Pool} from 'undici';

/** One request to the platform. */
export type ExchangeRequest = {
	method: 'GET' | 'POST' | 'PUT';
	path: string;
	body?: string;
};

/**
 * A response, or a failure and whether the body was handed to an open connection
 * before it. The body is streamed only after the connection is open, so a failure
 * before that (`handedOver` is false) certainly had no effect, and the effect of
 * any later failure is unknown.
 */
export type ExchangeResult =
	| {kind: 'answer'; status: number; effect: string | undefined; text: string}
	| {kind: 'failed'; handedOver: boolean; detail: string};

/** Sends requests over persistent connections. */
export type Exchanger = {
	/** Sends a request; never rejects. */
	exchange(request: ExchangeRequest): Promise<ExchangeResult>;
	/** Closes all connections. */
	close(): Promise<void>;
};

/** Settings of the exchanger; `timeout` covers a whole exchange, in milliseconds. */
export type ExchangerOptions = {
	/** `ip:port` or an `http://` address. */
	address: string;
	timeout: number;
	clock: Clock;
	credential?: string;
};

/** Maximum number of connections. */
const connections = 4;
const keepAliveMs = 30_000;

/** Creates an exchanger with a pool of at most four connections. */
export function createExchanger(options: ExchangerOptions): Exchanger {
	const {address, timeout, clock, credential} = options;
	const origin = address.includes('://') ? address : `http://${address}`;
	const pool = new Pool(origin, {
		connections,
		keepAliveTimeout: keepAliveMs,
		connect: {timeout},
	});
	const authorization = credential
		? {authorization: `Bearer ${credential}`}
		: {};

	return {
		async exchange({method, path, body}) {
			const abort = new AbortController();
			const timer = clock.setTimer(timeout, () => {
				abort.abort(new Error(`no answer within ${timeout} ms`));
			});
			let handedOver = false;
			try {
				const answer = await pool.request({
					method,
					path,
					signal: abort.signal,
					headers: {...authorization, ...bodyHeaders(body)},
					body:
						body === undefined
							? null
							: streamBody(body, () => {
									handedOver = true;
								}),
				});
				const text = await answer.body.text();
				const effect = answer.headers['platform-effect'];
				return {
					kind: 'answer',
					status: answer.statusCode,
					effect: typeof effect === 'string' ? effect : undefined,
					text,
				};
			} catch (error) {
				return {kind: 'failed', handedOver, detail: describeError(error)};
			} finally {
				timer.cancel();
			}
		},
		async close() {
			await pool.destroy();
		},
	};
}

/** Creates a stream that reads the body only when the open connection pulls it, and calls back then. */
function streamBody(body: string, onRead: () => void): Readable {
	return new Readable({
		highWaterMark: 0,
		read() {
			onRead();
			this.push(new TextEncoder().encode(body));
			this.push(null);
		},
	});
}

function bodyHeaders(body: string | undefined): Record<string, string> {
	return body === undefined
		? {}
		: {
				'content-type': 'application/json',
				'content-length': String(new TextEncoder().encode(body).byteLength),
			};
}

function describeError(error: unknown): string {
	return error instanceof Error && error.message !== ''
		? error.message
		: String((error as {code?: string}).code ?? error);
}
