/** A fake admin listener with fixed answers, and a terminal that records its output. */
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@egretspoke/shared';
import {
	createColour,
	environmentNames,
	runProgram,
	type ExitCode,
	type Terminal,
} from '../src/index.js';

/** The answer to `METHOD /path`; `cut` closes the connection without an answer. */
export type FakeAnswer = {status: number; body: unknown} | 'cut';

/** A call that the listener received. */
export type SeenCall = {call: string; authorization?: string; body: string};

/** A running fake listener. */
export type FakeAdmin = {
	address: string;
	seen: SeenCall[];
	close(): Promise<void>;
};

/** Starts a listener on a free port. */
export async function startFakeAdmin(
	answers: Record<string, FakeAnswer>,
): Promise<FakeAdmin> {
	const seen: SeenCall[] = [];
	const server = createServer(async (request, response) => {
		const call = `${request.method ?? ''} ${request.url ?? ''}`;
		const {authorization} = request.headers;
		const body = await readText(request);
		seen.push({call, body, ...(authorization && {authorization})});
		const answer = answers[call] ?? {status: 404, body: {error: 'not known'}};
		if (answer === 'cut') {
			request.socket.destroy();
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(JSON.stringify(answer.body));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: `127.0.0.1:${port}`,
		seen,
		async close() {
			server.close();
			server.closeAllConnections();
			await once(server, 'close');
		},
	};
}

/** The exit code and output of one run of the program. */
export type ProgramRun = {code: ExitCode; output: string; errors: string};

/** Runs the program with the given arguments. */
export async function run(
	argumentList: string[],
	options: {
		environment?: Record<string, string>;
		hasColour?: boolean;
		canShowProgress?: boolean;
	} = {},
): Promise<ProgramRun> {
	const output: string[] = [];
	const errors: string[] = [];
	const terminal: Terminal = {
		write(text) {
			output.push(text);
		},
		writeError(text) {
			errors.push(text);
		},
		canShowProgress: options.canShowProgress ?? false,
		colour: createColour(options.hasColour ?? false),
		environment: options.environment ?? {},
	};
	const clock = createSystemClock({keepAlive: true});
	const code = await runProgram(argumentList, terminal, clock);
	return {code, output: output.join(''), errors: errors.join('')};
}

async function readText(request: IncomingMessage): Promise<string> {
	const chunks = (await request.toArray()) as Uint8Array[];
	return chunks.map((chunk) => new TextDecoder().decode(chunk)).join('');
}

/** Runs the program against a fake listener with the given answers. */
export async function runAgainst(
	answers: Record<string, FakeAnswer>,
	argumentList: string[],
	environment: Record<string, string> = {},
) {
	const admin = await startFakeAdmin(answers);
	const result = await run(argumentList, {
		environment: {[environmentNames.node]: admin.address, ...environment},
	});
	await admin.close();
	return {...result, seen: admin.seen};
}
