/**
 * Answers with statuses that HTTP does not define, and answers that arrive while
 * a long upload is still being written. A caller got them as complete answers.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import type {Outcome} from '../src/links/exchange.js';
import {
	createTargetClient,
	type TargetClient,
} from '../src/target/target-client.js';
import {createAnswer, startRawTarget, type RawTarget} from './raw-target.js';
import {
	createTargetRequest,
	targetHeaderNames,
} from './target-client-fixture.js';

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

describe('an odd answer of a target', () => {
	let target: RawTarget;
	let client: TargetClient;

	beforeEach(async () => {
		target = await startRawTarget();
		client = createTargetClient({
			endpoint: {address: target.address, targetId: 'target-1'},
			headerNames: targetHeaderNames,
			clock: createVirtualClock(),
			budget: createMemoryBudget(350_000_000),
			onReplaced: () => undefined,
			onUnreachable: () => undefined,
			nextOrdinal: () => 1,
			onNotice: () => undefined,
			onConnect: () => undefined,
			onForeignResponse: () => undefined,
		});
	});

	afterEach(async () => {
		client.close();
		await target.close();
	});

	const run = async (id: string, body?: Uint8Array) =>
		new Promise<Outcome>((resolve) => {
			client.run(createTargetRequest(id, {body}), 900, resolve);
		});

	const expectNext = async () => {
		target.setBehaviour(({socket, id}) => {
			socket.write(createAnswer(id));
		});
		const {kind} = await run('next');
		expect(kind).to.equal('answered');
	};

	const expectLost = async (
		answer: (socket: Socket, id: string) => void,
		body?: Uint8Array,
	) => {
		target.setBehaviour(({socket, id}) => {
			answer(socket, id);
		});
		const {kind} = await run('a', body);
		expect(kind).to.equal('lost');
		await expectNext();
	};

	describe('with a status that HTTP does not define', () => {
		for (const status of statuses) {
			// Guards against a caller that gets it as an answer.
			it(`is lost if the status is ${status}`, async () => {
				await expectLost((socket, id) => {
					socket.end(
						createAnswer(id).replace('HTTP/1.1 200', `HTTP/1.1 ${status}`),
					);
				});
			});
		}
	});

	describe('without a length, while an upload is being written', () => {
		for (const [name, end] of Object.entries(ends)) {
			// Guards against a part of a body that passes for the whole.
			it(`is lost if the target ends the connection ${name}`, async () => {
				await expectLost((socket, id) => {
					socket.pause();
					socket.write(
						`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\n\r\npart`,
						() => {
							end(socket);
						},
					);
				}, upload);
			});
		}
	});
});
