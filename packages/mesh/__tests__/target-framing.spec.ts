/** Answers whose framing HTTP parsers read in different ways. */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import type {Outcome} from '../src/links/exchange.js';
import {
	createTargetClient,
	type TargetClient,
} from '../src/target/target-client.js';
import {
	createAnswer,
	startRawTarget,
	type RawRequest,
	type RawTarget,
} from './raw-target.js';
import {
	createTargetRequest,
	targetHeaderNames,
} from './target-client-fixture.js';

describe('the framing of an answer to the target client', () => {
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

	const run = async (id: string) =>
		new Promise<Outcome>((resolve) => {
			client.run(createTargetRequest(id), 900, resolve);
		});

	/** Runs a request and returns its outcome in short. */
	const outcomeOf = async (id: string) => {
		const outcome = await run(id);
		return outcome.kind === 'answered'
			? `${outcome.status} ${Buffer.from(outcome.body).toString()}`
			: Object.values(outcome).join(' ');
	};

	/** Makes the target write bytes; with `close`, it ends the connection after them. */
	const answerWith = (text: (request: RawRequest) => string, end?: 'close') => {
		target.setBehaviour((request) => {
			const {socket} = request;
			socket.write(text(request), 'latin1', () => {
				if (end) {
					socket.end();
				}
			});
		});
	};

	/** Runs a second request with an ordinary answer and returns the ordinal of its connection. */
	const connectionOfNext = async () => {
		answerWith(({id}) => createAnswer(id));
		expect(await outcomeOf('next')).to.equal('200 done');
		return target.requests.at(-1)!.connection;
	};

	describe('when a response without a body states a length', () => {
		// Guards against waiting for that body until the deadline, and against taking the next bytes for it.
		const lines = (id: string) => `Request-Id: ${id}\r\nSigned: s\r\n`;
		for (const status of [204, 304]) {
			for (const framing of [
				'Content-Length: 5',
				'Transfer-Encoding: chunked',
			]) {
				it(`ends a ${status} with its headers (${framing})`, async () => {
					answerWith(
						({id}) =>
							`HTTP/1.1 ${status} Empty\r\n${lines(id)}${framing}\r\n\r\n`,
					);
					expect(await outcomeOf('a')).to.equal(`${status} `);
					expect(await connectionOfNext()).to.equal(0);
				});
			}

			it(`closes the connection when the body of a ${status} follows`, async () => {
				answerWith(
					({id}) =>
						`HTTP/1.1 ${status} Empty\r\n${lines(id)}Content-Length: 5\r\n\r\nextra`,
				);
				expect(await outcomeOf('a')).to.equal(`${status} `);
				expect(await connectionOfNext()).to.equal(1);
			});
		}

		it('reads the response behind an interim one', async () => {
			answerWith(
				({id}) =>
					`HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n${createAnswer(id)}`,
			);
			expect(await outcomeOf('a')).to.equal('200 done');
			expect(await connectionOfNext()).to.equal(0);
		});

		it('reads the response behind a late copy', async () => {
			expect(await outcomeOf('a')).to.equal('200 done');
			answerWith(
				({id}) =>
					`HTTP/1.1 304 Empty\r\n${lines('a')}Content-Length: 5\r\n\r\n${createAnswer(id)}`,
			);
			expect(await outcomeOf('b')).to.equal('200 done');
			expect(await connectionOfNext()).to.equal(0);
		});
	});

	describe('when a transfer coding is applied beside chunks', () => {
		// Guards against coded bytes, or the framing of chunks, that pass for the body.
		const head = (id: string) =>
			`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\n`;
		const chunks = '4\r\nfour\r\n0\r\n\r\n';
		const codings = [
			'Transfer-Encoding: gzip, chunked',
			'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
			'Transfer-Encoding: chunked, chunked',
			'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
			'Transfer-Encoding: chunked, gzip',
			'Transfer-Encoding: gzip',
			'Transfer-Encoding: xchunked',
			'Transfer-Encoding: identity',
			'Transfer-Encoding:',
		];
		for (const coding of codings) {
			it(`closes the connection (${coding.replace('\r\n', ', ')})`, async () => {
				answerWith(({id}) => `${head(id)}${coding}\r\n\r\n${chunks}`, 'close');
				expect(await outcomeOf('a')).to.equal('lost connectionLost');
				expect(await connectionOfNext()).to.equal(1);
			});
		}

		it('reads chunks, however their coding is spelled', async () => {
			answerWith(
				({id}) => `${head(id)}TRANSFER-encoding: \tChunked \r\n\r\n${chunks}`,
			);
			expect(await outcomeOf('a')).to.equal('200 four');
			expect(await connectionOfNext()).to.equal(0);
		});

		it('returns a body with a content coding as it is', async () => {
			// `Content-Encoding` belongs to the body, and is forwarded with it.
			const body = gzipSync('whole').toString('latin1');
			answerWith(({id}) => createAnswer(id, body, ['Content-Encoding: gzip']));
			const outcome = (await run('a')) as Outcome & {kind: 'answered'};
			expect(gunzipSync(outcome.body).toString()).to.equal('whole');
			expect(outcome.headers).to.include('Content-Encoding');
		});
	});
});
