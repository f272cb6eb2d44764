/**
 * One HTTP exchange with the platform, and how far it got.
 *
 * What goes wrong without `handedOver`: a client that calls every failure
 * "unavailable" repeats a write that took effect, or tells an operator that
 * nothing was accepted when it was. One notices a configuration in force that
 * its author was told had failed. Here the request's body is drawn by the
 * connection only once it is open, so that a failure before that moment
 * certainly had no effect and any later one is left open.
 */
import {Readable} from 'node:stream';
import type {Clock} from '@egretspoke/shared';
import {Pool} from 'undici';

/** One call to the platform. */
export type ExchangeRequest = {
	method: 'GET' | 'POST' | 'PUT';
	path: string;
	body?: string;
};

/** An answer, or how far a failed exchange got. */
export type ExchangeResult =
	| {kind: 'answer'; status: number; effect: string | undefined; text: string}
	| {kind: 'failed'; handedOver: boolean; detail: string};

/** Carries exchanges over connections that are kept open. */
export type Exchanger = {
	/** Resolves always. */
	exchange(request: ExchangeRequest): Promise<ExchangeResult>;
	close(): Promise<void>;
};

/** Settings of the exchanger; the timeout is in milliseconds for a whole exchange. */
export type ExchangerOptions = {
	/** `ip:port` or an `http://` address. */
	address: string;
	timeout: number;
	clock: Clock;
	credential?: string;
};

const connections = 4;
const keepAliveMs = 30_000;

/** Creates an exchanger with at most four connections. */
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

/** Gives the body when the open connection asks for it. */
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
