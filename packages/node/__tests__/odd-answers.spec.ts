/**
 * Answers with statuses that HTTP does not define, and answers that arrive while
 * a long upload is still being written. A caller got them as complete answers.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {headerNames, type CallRequest} from '@egretspoke/protocol';
import {expect} from 'chai';
import {createHttpTargetClient} from '../src/http-target-client.js';

const statuses = ['000', '0', '099', '20', '-20', '600', '799', '999', '1000'];

/** More than the buffers of the system take. */
const upload = Buffer.alloc(24_000_000);

/** How a target ends its connection behind the first part of an answer. */
const ends: Record<string, (socket: Socket) => void> = {
	'with a reset'(socket) {
		socket.resetAndDestroy();
	},
	'by closing it'(socket) {
		socket.destroy();
	},
	'by closing its side, then with a reset'(socket) {
		socket.end(() => {
			socket.resetAndDestroy();
		});
	},
};

const createRequest = (
	id: string,
	body: Uint8Array = new Uint8Array(),
): CallRequest => ({
	id,
	service: 'orders',
	method: body.byteLength > 0 ? 'POST' : 'GET',
	path: '/list',
	headers: {},
	body,
	requestClass: 'normal',
	caller: 'shop',
	timeLeft: 5000,
	attempts: 1,
	idempotent: true,
});

describe('an odd answer of the local target', () => {
	let server: Server;
	let client: ReturnType<typeof createHttpTargetClient>;
	let answer: (socket: Socket) => void;
	const sockets = new Set<Socket>();

	beforeEach(async () => {
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = createHttpTargetClient({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
			connections: 1,
			bodyLimit: 30_000_000,
		});
	});

	afterEach(async () => {
		await client.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});

	const expectLost = async (
		answerWith: (socket: Socket) => void,
		body?: Uint8Array,
	) => {
		answer = answerWith;
		const {kind} = await client.send(
			createRequest('a', body),
			5000,
			AbortSignal.timeout(5000),
		);
		expect(kind).to.be.oneOf(['lost', 'cut']);
	};

	const writeHead = (status: string, lines: string[]) =>
		[
			`HTTP/1.1 ${status} X`,
			`${headerNames.request}: a`,
			...lines,
			'',
			'',
		].join('\r\n');

	describe('with a status that HTTP does not define', () => {
		for (const status of statuses) {
			// Guards against a caller that gets it as an answer.
			it(`is lost if the status is ${status}`, async () => {
				await expectLost((socket) => {
					socket.end(`${writeHead(status, ['Content-Length: 4'])}done`);
				});
			});
		}
	});

	describe('without a length, while an upload is being written', () => {
		for (const [name, end] of Object.entries(ends)) {
			// Guards against a part of a body that passes for the whole.
			it(`is lost if the target ends the connection ${name}`, async () => {
				await expectLost((socket) => {
					socket.pause();
					socket.write(`${writeHead('200', ['Connection: close'])}part`, () => {
						end(socket);
					});
				}, upload);
			});
		}
	});
});
