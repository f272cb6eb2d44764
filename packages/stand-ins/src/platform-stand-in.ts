/**
 * HTTP stand-in for the platform: the protocol of `@egretspoke/storage` over an
 * in-memory platform. An additional call, `PUT /faults` with a partial
 * `PlatformFaults`, injects faults. When an answer is lost, the connection is
 * closed.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	effectHeader,
	noEffect,
	transactionSchema,
	type PlatformError,
} from '@egretspoke/storage';
import type {Clock} from '@egretspoke/shared';
import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {createMemoryPlatform, type MemoryPlatform} from './memory-platform.js';

/** A running stand-in. */
export type PlatformServer = {
	/** `ip:port`. */
	address: string;
	platform: MemoryPlatform;
	close(): Promise<void>;
};

type Answer = {status: number; body?: string; headers?: Record<string, string>};

type Handler = (
	platform: MemoryPlatform,
	argument: string,
	body: string,
) => Promise<Answer | 'cut'>;

/** Starts the stand-in; port 0 selects a free port. */
export async function startPlatformServer(options: {
	clock: Clock;
	host?: string;
	port?: number;
	credential?: string;
}): Promise<PlatformServer> {
	const {clock, host = '127.0.0.1', port = 0, credential} = options;
	const platform = createMemoryPlatform({
		clock,
		timeout: Number.POSITIVE_INFINITY,
	});
	const server = createServer((request, response) => {
		void serve(platform, credential, request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const {address, port: bound} = server.address() as AddressInfo;
	return {
		address: `${address}:${bound}`,
		platform,
		async close() {
			server.closeAllConnections();
			await new Promise((resolve) => {
				server.close(resolve);
			});
		},
	};
}

const faultsSchema = z
	.object({
		down: z.boolean(),
		delay: z.number().nonnegative(),
		lostAnswers: z.number().int().nonnegative(),
	})
	.partial();

/** Handlers of the protocol's calls, by method and path prefix. */
const handlers: Record<string, Handler> = {
	'GET /table/rows/': async ({table}, key) =>
		answer(table.read(key), (row) =>
			row ? {status: 200, body: JSON.stringify(row)} : {status: 404},
		),
	'GET /table/rows?prefix=': async ({table}, prefix) =>
		answer(table.list(prefix), (rows) => ({
			status: 200,
			body: JSON.stringify({rows}),
		})),
	async 'POST /table/transactions'({table}, _argument, body) {
		const transaction = transactionSchema.safeParse(parseJson(body));
		if (!transaction.success) {
			return {status: 400, headers: {[effectHeader]: noEffect}};
		}

		const writes = transaction.data.writes.map(({ifVersion, ...write}) =>
			ifVersion === undefined ? write : {...write, ifVersion},
		);
		return answer(table.transact(writes), (rows) => ({
			status: 200,
			body: JSON.stringify({rows}),
		}));
	},
	'GET /objects/': async ({objects}, name) =>
		answer(objects.get(name), (body) =>
			body === undefined ? {status: 404} : {status: 200, body},
		),
	'PUT /objects/': async ({objects}, name, body) =>
		answer(objects.put(name, body), () => ({status: 204})),
	async 'PUT /faults'({faults}, _argument, body) {
		const change = faultsSchema.safeParse(parseJson(body));
		if (!change.success) {
			return {status: 400};
		}

		Object.assign(faults, change.data);
		return {status: 200, body: JSON.stringify(faults)};
	},
};

async function serve(
	platform: MemoryPlatform,
	credential: string | undefined,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	try {
		const body = await readBody(request);
		if (
			credential &&
			request.headers.authorization !== `Bearer ${credential}`
		) {
			send(response, {status: 401, headers: {[effectHeader]: noEffect}});
			return;
		}

		const line = `${request.method} ${request.url}`;
		const prefix = Object.keys(handlers).find((key) => line.startsWith(key));
		const handler = prefix === undefined ? undefined : handlers[prefix];
		if (prefix === undefined || !handler) {
			send(response, {status: 404, headers: {[effectHeader]: noEffect}});
			return;
		}

		const argument = decodeURIComponent(line.slice(prefix.length));
		const result = await handler(platform, argument, body);
		if (result === 'cut') {
			request.socket.destroy();
			return;
		}

		send(response, result);
	} catch {
		request.socket.destroy();
	}
}

const failures: Record<
	PlatformError['kind'],
	(error: PlatformError) => Answer | 'cut'
> = {
	unavailable: () => ({status: 503, headers: {[effectHeader]: noEffect}}),
	unknown: () => 'cut',
	conflict: ({detail}) => ({status: 409, body: JSON.stringify({detail})}),
};

async function answer<T>(
	result: ResultAsync<T, PlatformError>,
	describe: (value: T) => Answer,
): Promise<Answer | 'cut'> {
	return result.match<Answer | 'cut', Answer | 'cut'>(describe, (error) =>
		failures[error.kind](error),
	);
}

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function send(response: ServerResponse, {status, body, headers}: Answer): void {
	response.writeHead(status, {
		...headers,
		'content-type': 'application/json',
	});
	response.end(body);
}
