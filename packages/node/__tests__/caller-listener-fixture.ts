/** A caller listener with an entry whose outcomes the spec decides. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	createConnectionBudget,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';
import {
	createCallerListener,
	type CallerListener,
	type CallerListenerOptions,
} from '../src/caller-listener.js';
import type {CallerOutcome} from '../src/caller-request.js';
import {refuseAsNotRun} from '../src/entry-refusal.js';
import {silentReporter, type NodeEvent} from '../src/node-reporter.js';
import {readToEnd} from './listener-fixture.js';

/** A request that was passed on to the entry. */
export type PassedRequest = {
	path: string;
	signal: AbortSignal;
	answer(body?: string | Uint8Array, status?: number): void;
};

/** An answer in the bytes of a connection. */
export type RawAnswer = {
	status: number;
	headers: Record<string, string>;
	body: string;
};

/** A listening caller listener. */
export type CallerListenerFixture = {
	listener: CallerListener;
	events: NodeEvent[];
	/** Paths of the requests that were passed on, in order. */
	passed(): string[];
	/** Resolves with the request of this path once it is passed on. */
	waitFor(path: string): Promise<PassedRequest>;
	connect(): Promise<Socket>;
	close(): Promise<void>;
};

/** Starts the listener. */
export async function startCallerListener(
	options: Partial<CallerListenerOptions> = {},
): Promise<CallerListenerFixture> {
	const requests = new Map<string, PassedRequest>();
	const waiters = new Map<string, (request: PassedRequest) => void>();
	const events: NodeEvent[] = [];
	const listener = createCallerListener({
		clock: createSystemClock({keepAlive: true}),
		entry: {
			refuse: ({id = 'none'}, code, retryAfter) => ({
				request: id,
				outcome: refuseAsNotRun(code, retryAfter),
			}),
			handle: async ({path}, signal) =>
				new Promise<CallerOutcome>((resolve) => {
					const passed: PassedRequest = {
						path,
						signal,
						answer(body = path, status = 200) {
							resolve({
								request: path,
								outcome: {
									kind: 'answered',
									answer: {status, headers: {}, body: Buffer.from(body)},
								},
							});
						},
					};
					requests.set(path, passed);
					waiters.get(path)?.(passed);
				}),
		},
		reporter: {
			...silentReporter,
			recordEvent(event) {
				events.push(event);
			},
		},
		bodyLimit: 64 * 1024,
		bufferLimit: 1024 * 1024,
		headerLimit: 4096,
		connectionBudget: createConnectionBudget({
			clock: createSystemClock({keepAlive: true}),
			limits: noConnectionLimits,
		}),
		requestTimeout: 10_000,
		announce: () => undefined,
		...options,
	});
	const port = await listener.listen('127.0.0.1', 0);

	return {
		listener,
		events,
		passed: () => [...requests.keys()],
		waitFor: async (path) =>
			requests.get(path) ??
			new Promise((resolve) => {
				waiters.set(path, resolve);
			}),
		async connect() {
			const socket = connect(port, '127.0.0.1');
			await once(socket, 'connect');
			return socket;
		},
		async close() {
			await listener.close('stop');
		},
	};
}

/** The bytes of a request for `path`, with more header lines. */
export function writeRequest(path: string, ...lines: string[]): string {
	return `${[`GET ${path} HTTP/1.1`, 'host: node', 'egretspoke-service: orders', ...lines].join('\r\n')}\r\n\r\n`;
}

/** Reads answers until the other side closes the connection. */
export async function readAnswers(socket: Socket): Promise<RawAnswer[]> {
	return parseAnswers(await readToEnd(socket));
}

function parseAnswers(text: string): RawAnswer[] {
	const answers: RawAnswer[] = [];
	let rest = text;
	while (rest.length > 0) {
		const end = rest.indexOf('\r\n\r\n');
		const [statusLine = '', ...lines] = rest.slice(0, end).split('\r\n');
		const headers = Object.fromEntries(
			lines.map((line) => {
				const [name = '', value = ''] = line.split(': ', 2);
				return [name.toLowerCase(), value] as const;
			}),
		);
		const start = end === -1 ? rest.length : end + 4;
		const length = Number(headers['content-length'] ?? 0);
		const body = rest.slice(start, start + length);
		answers.push({status: Number(statusLine.split(' ')[1]), headers, body});
		rest = rest.slice(start + length);
	}

	return answers;
}
