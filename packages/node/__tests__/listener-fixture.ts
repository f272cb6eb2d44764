/** A node in this process with a target, for the specs of invalid input. */
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {parseAddress} from '@egretspoke/shared';
import {request} from 'undici';
import {parseNodeSettings} from '../src/index.js';
import {
	startNode,
	type RunningNode,
	type StartOptions,
} from '../src/start-node.js';

/** The secrets of the node under test. */
export const secrets = {
	peer: 'peer-secret-0123456789',
	operator: 'operator-secret-0123456789',
} as const;

/** A running node with helpers for a spec. */
export type ListenerFixture = {
	node: RunningNode;
	/** Sends one valid request, to check that the node still serves. */
	sendRequest(): Promise<{status: number; text: string}>;
	/** The value of a series in the node's metrics; 0 when it is absent. */
	count(series: string): Promise<number>;
	/** Calls the admin listener with the secret. */
	callAdmin(path: string): Promise<{status: number; text: string}>;
	/** Number of requests that reached the target. */
	received(): number;
	close(): Promise<void>;
};

/** What a spec may replace. */
export type FixtureOptions = StartOptions & {
	/** Lines of the settings of limits. */
	limits?: string[];
	bodyLimit?: string;
	/** The settings of timings, in braces. */
	timings?: string;
	/** The target's own handler. */
	onRequest?: RequestListener;
};

/** Starts the node; `limits` are lines of its settings. */
export async function startFixture(
	...limits: string[]
): Promise<ListenerFixture> {
	return startFixtureWith({limits});
}

/** Starts the node with replaced parts. */
export async function startFixtureWith({
	limits = [],
	bodyLimit = '64KB',
	timings = '{}',
	onRequest = (incoming, response) => {
		incoming.resume();
		incoming.on('end', () => response.end('done'));
	},
	...options
}: FixtureOptions): Promise<ListenerFixture> {
	let received = 0;
	const target = createServer((incoming, response) => {
		received++;
		onRequest(incoming, response);
	});
	const targetAddress = await listenAnywhere(target);
	const settings = parseNodeSettings(
		[
			'node: vm-1',
			'dataCentre: a',
			'platform: {address: "http://127.0.0.1:1", timeout: 100ms}',
			'listeners: {caller: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0"}',
			`target: {address: "${targetAddress}", announcement: {service: orders, slots: 4, connections: 8}}`,
			`secrets: {peer: ${secrets.peer}, operator: ${secrets.operator}}`,
			'logs: {level: silent}',
			`timings: ${timings}`,
			'limits:',
			...[`body: ${bodyLimit}`, 'headers: 4KB', ...limits].map(
				(line) => `  ${line}`,
			),
		].join('\n'),
		'bench.yaml',
	);
	const node = await startNode(settings._unsafeUnwrap(), options);
	const {caller, admin} = node.addresses;
	const callAdmin = async (path: string) =>
		read(`http://${admin}${path}`, {
			authorization: `Bearer ${secrets.operator}`,
		});

	return {
		node,
		callAdmin,
		sendRequest: async () =>
			read(`http://${caller}/orders/1`, {
				'egretspoke-service': 'orders',
			}),
		async count(series) {
			const {text} = await callAdmin('/metrics');
			const line = text
				.split('\n')
				.find((each) => each.startsWith(`${series} `));
			return Number(line?.split(' ').at(-1) ?? 0);
		},
		received: () => received,
		async close() {
			await node.stop();
			target.close();
			target.closeAllConnections();
		},
	};
}

/** Opens a plain connection. */
export async function openSocket(address: string): Promise<Socket> {
	const {host, port} = parseAddress(address)!;
	const socket = connect(port, host);
	await once(socket, 'connect');
	return socket;
}

/** Reads everything on a connection until the other side closes it. */
export async function readToEnd(socket: Socket): Promise<string> {
	const chunks: string[] = [];
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => chunks.push(chunk));
	socket.on('error', () => undefined);
	if (!socket.destroyed) {
		await once(socket, 'close');
	}

	return chunks.join('');
}

/** Sends raw bytes and returns everything received until the close. */
export async function exchangeRaw(
	address: string,
	...parts: string[]
): Promise<string> {
	const socket = await openSocket(address);
	const answer = readToEnd(socket);
	for (const part of parts) {
		socket.write(part);
	}

	return answer;
}

async function read(
	url: string,
	headers: Record<string, string>,
): Promise<{status: number; text: string}> {
	const {statusCode, body} = await request(url, {headers});
	return {status: statusCode, text: await body.text()};
}

async function listenAnywhere(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
