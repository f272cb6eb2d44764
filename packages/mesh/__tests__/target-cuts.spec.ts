/**
 * Answers that end early. A target that stops within an answer closes or resets
 * its connection; a caller then saw a 200 with an empty or short body, framed as
 * whole.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {gzipSync} from 'node:zlib';
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

/** How a target ends its connection. */
type End = 'close' | 'reset';

const ends: End[] = ['close', 'reset'];
/** Turns of the event loop after which a late end follows what was sent. */
const lateTurns = 3;

/** An answer in the bytes of a connection. */
type Shape = {
	method?: string;
	/** In Latin-1. */
	text: string;
	/** The body of the whole answer. */
	body: string;
	/** Bytes after which an end without a reset is the end of the answer, as HTTP defines it. */
	closeCompletesFrom?: number;
};

const head = (lines: string[], status = '200 OK') =>
	[`HTTP/1.1 ${status}`, 'Request-Id: a', 'Signed: s', ...lines, '', ''].join(
		'\r\n',
	);
const chunks = '4\r\nthis\r\n10;name=value\r\nbody is in parts\r\n0\r\n';
const partsBody = 'thisbody is in parts';
const compressed = gzipSync('compressed '.repeat(9)).toString('latin1');
const withoutLength = head([]);

const shapes: Record<string, Shape> = {
	'with a length': {
		text: `${head(['Content-Length: 10'])}whole body`,
		body: 'whole body',
	},
	'with a length, on a connection that closes': {
		text: `${head(['Content-Length: 10', 'Connection: close'])}whole body`,
		body: 'whole body',
	},
	'in chunks': {
		text: `${head(['Transfer-Encoding: chunked'])}${chunks}\r\n`,
		body: partsBody,
	},
	'in chunks, on a connection that closes': {
		text: `${head(['Transfer-Encoding: chunked', 'Connection: close'])}${chunks}\r\n`,
		body: partsBody,
	},
	'in chunks with a trailer': {
		text: `${head(['Transfer-Encoding: chunked', 'Trailer: Note'])}${chunks}Note: end\r\n\r\n`,
		body: partsBody,
	},
	'compressed, with a length': {
		text: `${head(['Content-Encoding: gzip', `Content-Length: ${compressed.length}`])}${compressed}`,
		body: compressed,
	},
	'compressed, in chunks': {
		text: `${head(['Content-Encoding: gzip', 'Transfer-Encoding: chunked'])}${compressed.length.toString(16)}\r\n${compressed}\r\n0\r\n\r\n`,
		body: compressed,
	},
	'without a length': {
		text: `${withoutLength}whole body`,
		body: 'whole body',
		closeCompletesFrom: withoutLength.length,
	},
	'behind interim responses': {
		text: `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 4\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${head(['Content-Length: 10'])}whole body`,
		body: 'whole body',
	},
	'behind a late copy': {
		text: `${createAnswer('before')}${head(['Content-Length: 10'])}whole body`,
		body: 'whole body',
	},
	'behind a late copy, without a length': {
		text: `${createAnswer('before')}${withoutLength}whole body`,
		body: 'whole body',
		closeCompletesFrom: createAnswer('before').length + withoutLength.length,
	},
	'to HEAD': {
		method: 'HEAD',
		text: head(['Content-Length: 10']),
		body: '',
	},
	'with 204': {text: head([], '204 No Content'), body: ''},
	'with 304': {
		text: head(['Content-Length: 10'], '304 Not Modified'),
		body: '',
	},
	'with many headers': {
		text: `${head([...Array.from({length: 70}, (_, index) => `X-${index}: x`), 'Content-Length: 2'])}ok`,
		body: 'ok',
	},
};

describe('an answer to the target client that ends early', () => {
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

	const run = async (id: string, method = 'GET') =>
		new Promise<Outcome>((resolve) => {
			client.run(createTargetRequest(id, {method}), 900, resolve);
		});

	const bodyOf = (outcome: Outcome) =>
		outcome.kind === 'answered'
			? Buffer.from(outcome.body).toString('latin1')
			: outcome.kind;

	/** Makes the target answer each id as scripted, and other ids with the id. */
	const script = (answers: Record<string, (socket: Socket) => void>) => {
		target.setBehaviour(({socket, id}) => {
			const answer = answers[id];
			if (answer) {
				answer(socket);
			} else {
				socket.write(createAnswer(id, id));
			}
		});
	};

	/** Writes the bytes and ends the connection, at once or when they have been read. */
	const writeAndEnd =
		(text: string, end: End, isDelayed = false) =>
		(socket: Socket) => {
			const finish = () => {
				if (end === 'close') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			};

			if (text === '') {
				finish();
			} else {
				socket.write(text, 'latin1', () => {
					if (isDelayed) {
						afterTurns(lateTurns, finish);
					} else {
						finish();
					}
				});
			}
		};

	/** Cuts an answer at one byte; checks its outcome and that of the next request. */
	const expectCut = async (
		{method, text, body, closeCompletesFrom}: Shape,
		size: number,
		end: End,
		isDelayed: boolean,
	) => {
		script({a: writeAndEnd(text.slice(0, size), end, isDelayed)});
		const outcome = await run('a', method);
		const used = target.requests.at(-1)!.connection;
		const place = `cut at ${size} of ${text.length}`;
		if (
			closeCompletesFrom !== undefined &&
			size >= closeCompletesFrom &&
			end === 'close'
		) {
			expect(bodyOf(outcome), place).to.equal(
				body.slice(0, size - closeCompletesFrom),
			);
		} else {
			expect(outcome.kind, place).to.equal('lost');
		}

		expect(bodyOf(await run('next')), place).to.equal('next');
		expect(target.requests.at(-1)!.connection).not.to.equal(used);
	};

	const expectWhole = async ({
		method,
		text,
		body,
		closeCompletesFrom,
	}: Shape) => {
		script({
			a(socket) {
				socket.write(text, 'latin1');
				if (closeCompletesFrom !== undefined) {
					socket.end();
				}
			},
		});
		expect(bodyOf(await run('a', method))).to.equal(body);
		expect(bodyOf(await run('next'))).to.equal('next');
	};

	/** Cuts an answer at every `step` bytes. */
	const expectCuts = async (
		shape: Shape,
		{step, end, isDelayed}: {step: number; end: End; isDelayed: boolean},
	) => {
		for (let size = 0; size < shape.text.length; size += step) {
			// eslint-disable-next-line no-await-in-loop -- the cuts share one client.
			await expectCut(shape, size, end, isDelayed);
		}
	};

	for (const [name, shape] of Object.entries(shapes)) {
		describe(name, () => {
			it('is read when it is whole', async () => expectWhole(shape));

			for (const end of ends) {
				// Guards against a part of an answer that passes for a whole one. All but the first cut are on a used connection.
				it(`is lost at every byte (${end})`, async () =>
					expectCuts(shape, {step: 1, end, isDelayed: false}));

				it(`is lost at every seventh byte when the end follows later (${end})`, async () =>
					expectCuts(shape, {step: 7, end, isDelayed: true}));
			}
		});
	}

	for (const end of ends) {
		// Guards against the part of a second answer that passes for the answer to the next request.
		it(`that follows a whole answer is no answer to the next request (${end})`, async () => {
			const second = createAnswer('next', 'other');
			for (let size = 1; size < second.length; size += 1) {
				script({
					a: writeAndEnd(createAnswer('a') + second.slice(0, size), end),
				});
				// eslint-disable-next-line no-await-in-loop -- the cuts share one client.
				expect(bodyOf(await run('a'))).to.equal('done');
				// eslint-disable-next-line no-await-in-loop -- as above.
				expect(bodyOf(await run('next'))).to.equal('next');
			}
		});
	}
});

/** Calls back after some turns of the event loop, in which the other side reads what was sent. */
function afterTurns(turns: number, callback: () => void): void {
	setImmediate(() => {
		if (turns <= 1) {
			callback();
		} else {
			afterTurns(turns - 1, callback);
		}
	});
}
