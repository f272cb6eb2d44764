/**
 * Answers that end early. A target that stops within an answer closes or resets
 * its connection; a caller then saw a 200 with an empty or short body, framed as
 * whole.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {gzipSync} from 'node:zlib';
import {headerNames, type CallRequest} from '@egretspoke/protocol';
import {expect} from 'chai';
import {createHttpTargetClient} from '../src/http-target-client.js';
import type {TargetResult} from '../src/target-client.js';

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
	[
		`HTTP/1.1 ${status}`,
		`${headerNames.request}: a`,
		'Content-Type: text/plain',
		...lines,
		'',
		'',
	].join('\r\n');
const chunks = '4\r\nthis\r\n10;name=value\r\nbody is in parts\r\n0\r\n';
const partsBody = 'thisbody is in parts';
const compressed = gzipSync('compressed '.repeat(9)).toString('latin1');
const compressedChunks = `${Buffer.byteLength(compressed, 'latin1').toString(16)}\r\n${compressed}\r\n0\r\n\r\n`;
const withoutLength = head(['Connection: close']);

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
		text: `${head(['Content-Encoding: gzip', 'Transfer-Encoding: chunked'])}${compressedChunks}`,
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
	'to HEAD': {
		method: 'HEAD',
		text: head(['Content-Length: 10']),
		body: '',
	},
	'to HEAD, on a connection that closes': {
		method: 'HEAD',
		text: head(['Connection: close']),
		body: '',
	},
	'with 204': {text: head([], '204 No Content'), body: ''},
	'with 304': {text: head(['ETag: "a"'], '304 Not Modified'), body: ''},
	'with 204 and a length': {
		text: head(['Content-Length: 5'], '204 No Content'),
		body: '',
	},
	'with 304 and a length': {
		text: head(['Content-Length: 5'], '304 Not Modified'),
		body: '',
	},
	'with 304 and a length, on a connection that closes': {
		text: head(['Content-Length: 5', 'Connection: close'], '304 Not Modified'),
		body: '',
	},
	'with many headers': {
		text: `${head([...Array.from({length: 70}, (_, index) => `X-${index}: x`), 'Content-Length: 2'])}ok`,
		body: 'ok',
	},
};

const createRequest = (id: string, method: string): CallRequest => ({
	id,
	service: 'orders',
	method,
	path: '/list',
	headers: {},
	body: new Uint8Array(),
	requestClass: 'normal',
	caller: 'shop',
	timeLeft: 1000,
	attempts: 1,
	idempotent: true,
});

describe('an answer to the HTTP client of the local target that ends early', () => {
	let server: Server;
	let client: ReturnType<typeof createHttpTargetClient>;
	const target: {
		opened: number;
		/** Ordinal of the connection of the last request. */
		last: number;
		/** Answers the next request; an ordinary answer if undefined. */
		script: ((socket: Socket) => void) | undefined;
	} = {opened: 0, last: 0, script: undefined};

	beforeEach(async () => {
		target.opened = 0;
		target.script = undefined;
		server = createServer((socket) => {
			const connection = target.opened++;
			let text = '';
			socket.setNoDelay(true);
			socket.on('error', () => undefined);
			socket.on('data', (chunk) => {
				text += chunk.toString('latin1');
				if (!text.endsWith('\r\n\r\n')) {
					return;
				}

				const id = new RegExp(`^${headerNames.request}: (.*)\r$`, 'im').exec(
					text,
				)![1]!;
				text = '';
				target.last = connection;
				const answer = target.script;
				target.script = undefined;
				if (answer) {
					answer(socket);
				} else {
					socket.write(
						`HTTP/1.1 200 OK\r\n${headerNames.request}: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`,
					);
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = createHttpTargetClient({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
			connections: 1,
			bodyLimit: 10_000,
		});
	});

	afterEach(async () => {
		await client.close();
		server.close();
	});

	const send = async (id: string, method = 'GET') =>
		client.send(createRequest(id, method), 1000, new AbortController().signal);

	const bodyOf = (result: TargetResult) =>
		result.kind === 'answer'
			? Buffer.from(result.answer.body).toString('latin1')
			: result.kind;

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

	/** Cuts an answer at one byte; checks its result and that of the next request. */
	const expectCut = async (
		{method, text, body, closeCompletesFrom}: Shape,
		size: number,
		end: End,
		isDelayed: boolean,
	) => {
		target.script = writeAndEnd(text.slice(0, size), end, isDelayed);
		const result = await send('a', method);
		const place = `cut at ${size} of ${text.length}`;
		if (
			closeCompletesFrom !== undefined &&
			size >= closeCompletesFrom &&
			end === 'close'
		) {
			expect(bodyOf(result), place).to.equal(
				body.slice(0, size - closeCompletesFrom),
			);
		} else {
			expect(result.kind, place).to.be.oneOf(['lost', 'cut']);
		}

		expect(bodyOf(await send('next')), place).to.equal('next');
	};

	for (const [name, shape] of Object.entries(shapes)) {
		describe(name, () => {
			it('is read when it is whole', async () => {
				target.script = (socket) => {
					socket.write(shape.text, 'latin1');
					if (shape.closeCompletesFrom !== undefined) {
						socket.end();
					}
				};

				expect(bodyOf(await send('a', shape.method))).to.equal(shape.body);
				expect(bodyOf(await send('next'))).to.equal('next');
			});

			for (const end of ends) {
				// Guards against a part of an answer that passes for a whole one.
				it(`is lost at every byte (${end})`, async () => {
					for (let size = 0; size < shape.text.length; size++) {
						// eslint-disable-next-line no-await-in-loop -- one connection.
						await expectCut(shape, size, end, false);
					}
				});

				it(`is lost at every seventh byte when the end follows later (${end})`, async () => {
					for (let size = 0; size < shape.text.length; size += 7) {
						// eslint-disable-next-line no-await-in-loop -- one connection.
						await expectCut(shape, size, end, true);
					}
				});

				it(`is lost at every third byte on a used connection (${end})`, async () => {
					for (let size = 0; size < shape.text.length; size += 3) {
						// eslint-disable-next-line no-await-in-loop -- one connection.
						await send('before');
						const used = target.last;
						// eslint-disable-next-line no-await-in-loop -- one connection.
						await expectCut(shape, size, end, false);
						expect(target.last).not.to.equal(used);
					}
				});
			}
		});
	}

	for (const end of ends) {
		// Guards against the part of a second answer that passes for the answer to the next request.
		it(`that follows a whole answer is no answer to the next request (${end})`, async () => {
			const whole = `${head(['Content-Length: 10'])}whole body`;
			const second = whole.replace(': a', ': next').replace('whole', 'other');
			for (let size = 1; size < second.length; size += 3) {
				target.script = writeAndEnd(whole + second.slice(0, size), end);
				// eslint-disable-next-line no-await-in-loop -- one connection.
				expect(bodyOf(await send('a'))).to.equal('whole body');
				// eslint-disable-next-line no-await-in-loop -- one connection.
				expect(bodyOf(await send('next'))).to.be.oneOf(['next', 'lost']);
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
