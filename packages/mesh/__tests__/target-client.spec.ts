import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createVirtualClock, type VirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {BodyStream} from '../src/bodies/body-stream.js';
import {
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';
import type {ForwardedRequest, Outcome} from '../src/links/exchange.js';
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
	waitForTurn,
} from './target-client-fixture.js';

describe('the target client', () => {
	let target: RawTarget;
	let client: TargetClient;
	let clock: VirtualClock;
	let replaced: number;
	let unreachable: string[];
	let leaving: boolean[];
	let opened: number;
	let budget: MemoryBudget;
	let foreign: string[];

	const createClient = (address: string) =>
		createTargetClient({
			endpoint: {address, targetId: 'target-1'},
			headerNames: targetHeaderNames,
			clock,
			budget,
			onReplaced() {
				replaced++;
			},
			onUnreachable(detail) {
				unreachable.push(detail);
			},
			nextOrdinal: () => 1,
			onNotice({isLeaving}) {
				leaving.push(isLeaving);
			},
			onConnect() {
				opened++;
			},
			onForeignResponse(requestId, {responseTo}) {
				foreign.push(`${requestId} got ${responseTo}`);
			},
		});

	beforeEach(async () => {
		target = await startRawTarget();
		clock = createVirtualClock();
		budget = createMemoryBudget(350_000_000);
		client = createClient(target.address);
		replaced = 0;
		unreachable = [];
		leaving = [];
		opened = 0;
		foreign = [];
	});

	afterEach(async () => {
		client.close();
		await target.close();
	});

	const run = async (id: string, changes?: Partial<ForwardedRequest>) =>
		new Promise<Outcome>((resolve) => {
			client.run(createTargetRequest(id, changes), 900.5, resolve);
		});

	/** Runs a request and returns its outcome in short. */
	const outcomeOf = async (id: string, changes?: Partial<ForwardedRequest>) => {
		const outcome = await run(id, changes);
		return outcome.kind === 'answered'
			? `${outcome.status} ${Buffer.from(outcome.body).toString()}`
			: Object.values(outcome).join(' ');
	};

	/** Makes the target write bytes; `end` closes or resets the connection after them. */
	const answerWith = (
		text: (request: RawRequest) => string,
		end?: 'close' | 'reset',
	) => {
		target.setBehaviour((request) => {
			const {socket} = request;
			socket.write(text(request), 'latin1', () => {
				if (end === 'close') {
					socket.end();
				} else if (end === 'reset') {
					socket.resetAndDestroy();
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

	it('sends the request with the headers that the target needs', async () => {
		await run('a');
		const lines = target.requests[0]!.head.split('\r\n');
		expect(lines[0]).to.equal('GET /work?x=1 HTTP/1.1');
		expect(lines.map((line) => line.toLowerCase())).to.include.members([
			'host: shop.example',
			'connection: keep-alive',
			'request-id: a',
			'time-left: 900',
			'expected-target: target-1',
		]);
		expect(target.requests[0]!.head).not.to.match(/content-length/i);
	});

	it('frames the body of a request, and an empty one where a body is expected', async () => {
		await run('a', {method: 'POST', body: Buffer.from('four')});
		expect(target.requests[0]!.head).to.match(/^content-length: 4$/im);
		await run('b', {method: 'POST'});
		expect(target.requests[1]!.head).to.match(/^content-length: 0$/im);
	});

	it('returns the answer without the headers of its connection', async () => {
		answerWith(({id}) =>
			createAnswer(id, 'body', [
				'Set-Cookie: a',
				'Set-Cookie: b',
				'Connection: x-hop',
				'X-Hop: 1',
				'Keep-Alive: timeout=9',
				'Is-Leaving: 1',
				'X-Text: gr\u00FC\u00DF',
			]),
		);
		const outcome = await run('a');
		expect(outcome.kind).to.equal('answered');
		const {headers, body, status} = outcome as Outcome & {kind: 'answered'};
		expect(status).to.equal(200);
		expect(Buffer.from(body).toString()).to.equal('body');
		const pairs: string[] = [];
		for (let index = 0; index < headers.length; index += 2) {
			pairs.push(`${headers[index]!.toLowerCase()}: ${headers[index + 1]!}`);
		}

		expect(pairs).to.have.members([
			'request-id: a',
			'signed: signed',
			'is-leaving: 1',
			'set-cookie: a',
			'set-cookie: b',
			'x-text: gr\u00FC\u00DF',
		]);
		expect(leaving).to.deep.equal([true]);
	});

	it('reads answers that arrive in single bytes', async () => {
		// A segment can end anywhere, within a header name or a chunk's size.
		target.setBehaviour(({socket, id}) => {
			const text = `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\none\r\n4\r\n two\r\n0\r\nX-Trailer: t\r\n\r\n`;
			let index = 0;
			const next = () => {
				if (index < text.length) {
					socket.write(text[index++]!);
					setImmediate(next);
				}
			};

			next();
		});
		expect(await outcomeOf('a')).to.equal('200 one two');
		expect(await outcomeOf('b')).to.equal('200 one two');
		expect(target.requests[1]!.connection).to.equal(0);
	});

	it('reads answers without a body by their status and method', async () => {
		// Their `Content-Length` states the size of a body that is not sent.
		const lines = (id: string) =>
			`Request-Id: ${id}\r\nSigned: s\r\nContent-Length: 5\r\n\r\n`;
		answerWith(({id}) => `HTTP/1.1 200 OK\r\n${lines(id)}`);
		expect(await outcomeOf('head', {method: 'HEAD'})).to.equal('200 ');
		for (const status of [204, 304]) {
			answerWith(
				({id}) =>
					`HTTP/1.1 ${status} Empty\r\nRequest-Id: ${id}\r\nSigned: s\r\n\r\n`,
			);
			// eslint-disable-next-line no-await-in-loop -- one after the other.
			expect(await outcomeOf(`${status}`)).to.equal(`${status} `);
		}

		// The length of the body that a 200 would have had (RFC 9110, section 15.4.5).
		answerWith(({id}) => `HTTP/1.1 304 Not Modified\r\n${lines(id)}`);
		expect(await outcomeOf('unmodified')).to.equal('304 ');

		await connectionOfNext();
	});

	describe('when a connection delivers bytes that belong to no request', () => {
		// Taken for the answer of the next request, they would show one caller the
		// data of another.
		it('discards bytes after an answer', async () => {
			answerWith(({id}) => createAnswer(id) + createAnswer('next', 'foreign'));
			expect(await outcomeOf('a')).to.equal('200 done');
			expect(await connectionOfNext()).to.equal(1);
		});

		it('discards an incomplete message after an answer', async () => {
			answerWith(({id}) => `${createAnswer(id)}H`);
			expect(await outcomeOf('a')).to.equal('200 done');
			expect(await connectionOfNext()).to.equal(1);
		});

		it('closes an idle connection on which a second answer arrives', async () => {
			expect(await outcomeOf('a')).to.equal('200 done');
			target.requests[0]!.socket.write(createAnswer('next', 'foreign'));
			await waitForTurn(() => target.connections.size === 0);
			expect(await connectionOfNext()).to.equal(1);
		});

		it('reads what has arrived before it sends the next request', async () => {
			// After a stall the node finds the late bytes and the next request at once.
			expect(await outcomeOf('a')).to.equal('200 done');
			await new Promise(setImmediate);
			target.requests[0]!.socket.write(createAnswer('next', 'foreign'));
			expect(await connectionOfNext()).to.equal(1);
		});

		describe('as a late copy of an earlier response', () => {
			const decline = (id: string) =>
				`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`;

			/** Runs a request that the target declines; the next request on its connection first gets a copy of that response. */
			const declineWithLateCopy = async (id: string) => {
				answerWith((request) => decline(request.id));
				expect(await outcomeOf(id)).to.equal('declined 503');
				const declinedOn = target.requests.at(-1)!.connection;
				answerWith((request) =>
					request.connection === declinedOn
						? decline(id) + createAnswer(request.id)
						: createAnswer(request.id),
				);
				return declinedOn;
			};

			// A request ended with 502 although its own response was on its way.
			it('returns the response that carries the id of the request', async () => {
				expect(await outcomeOf('a')).to.equal('200 done');
				answerWith(({id}) => createAnswer('a', 'foreign') + createAnswer(id));
				expect(await outcomeOf('b')).to.equal('200 done');
				expect(foreign).to.deep.equal(['b got a']);
				expect(await connectionOfNext()).to.equal(0);
			});

			it('skips each of several copies, whatever their framing', async () => {
				expect(await outcomeOf('a')).to.equal('200 done');
				const chunked =
					'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n';
				answerWith(
					({id}) =>
						createAnswer('a', 'foreign') +
						chunked +
						decline('a') +
						createAnswer(id),
				);
				expect(await outcomeOf('b')).to.equal('200 done');
				expect(foreign).to.have.length(3);
			});

			it('reports the request as lost if its own response does not follow', async () => {
				expect(await outcomeOf('a')).to.equal('200 done');
				answerWith(() => createAnswer('a', 'foreign'), 'close');
				expect(await outcomeOf('b')).to.equal('lost connectionLost');
				expect(await connectionOfNext()).to.equal(1);
			});

			// A payment ran twice: the copy passed for the response to its second offer, which the target ran.
			it('does not send a declined request over a connection that declined it', async () => {
				const declinedOn = await declineWithLateCopy('pay');
				expect(await outcomeOf('pay')).to.equal('200 done');
				expect(target.requests.at(-1)!.connection).not.to.equal(declinedOn);
				expect(opened).to.equal(2);
			});

			it('still uses that connection for other requests', async () => {
				const declinedOn = await declineWithLateCopy('pay');
				expect(await outcomeOf('other')).to.equal('200 done');
				expect(target.requests.at(-1)!.connection).to.equal(declinedOn);
				expect(foreign).to.deep.equal(['other got pay']);
			});

			it('closes a connection that has declined too many requests to remember', async () => {
				answerWith((request) => decline(request.id));
				const connections = new Set<number>();
				for (let index = 0; index < 100; index++) {
					// eslint-disable-next-line no-await-in-loop -- one after the other.
					await outcomeOf(`pay-${index}`);
					connections.add(target.requests.at(-1)!.connection);
				}

				expect(connections.size).to.equal(2);
			});
		});
	});

	it('rejects an answer without the request’s id', async () => {
		answerWith(
			() => 'HTTP/1.1 500 Failed\r\nSigned: s\r\nContent-Length: 0\r\n\r\n',
		);
		expect(await outcomeOf('a')).to.equal('lost answerForeign');
		answerWith(({id}) => createAnswer(id, 'x', [`Request-Id: ${id}`]));
		expect(await outcomeOf('repeated')).to.equal('lost answerForeign');
	});

	it('rejects a success without a signature and returns a failure without one', async () => {
		answerWith(
			({id}) =>
				`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`,
		);
		expect(await outcomeOf('a')).to.equal('lost answerUnsigned');
		answerWith(
			({id}) =>
				`HTTP/1.1 500 Failed\r\nRequest-Id: ${id}\r\nContent-Length: 2\r\n\r\nno`,
		);
		expect(await outcomeOf('b')).to.equal('500 no');
	});

	it('reports declined requests, and a target that is another one', async () => {
		answerWith(
			({id}) =>
				`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`,
		);
		expect(await outcomeOf('a')).to.equal('declined 503');
		answerWith(
			({id}) =>
				`HTTP/1.1 421 Other\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
		);
		expect(await outcomeOf('b')).to.equal('declined 421');
		expect(replaced).to.equal(1);
		expect(leaving).to.have.length(1);
	});

	describe('when an answer is incomplete', () => {
		// Half of an answer must not pass as a whole one, and the request may have run.
		const head = (id: string) =>
			`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\n`;
		const cases: Array<[string, (id: string) => string, string]> = [
			['is missing', () => '', 'connectionLost'],
			['ends within its headers', head, 'connectionLost'],
			[
				'is shorter than its length',
				(id) => `${head(id)}Content-Length: 9\r\n\r\nhalf`,
				'answerCut',
			],
			[
				'lacks its last chunk',
				(id) => `${head(id)}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
				'answerCut',
			],
			[
				'lacks the end of its trailers',
				(id) =>
					`${head(id)}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n`,
				'answerCut',
			],
		];
		for (const [fault, text, reason] of cases) {
			for (const end of ['close', 'reset'] as const) {
				it(`reports it as lost if it ${fault} (${end})`, async () => {
					answerWith(({id}) => text(id), end);
					expect(await outcomeOf('a')).to.equal(`lost ${reason}`);
					expect(await connectionOfNext()).to.equal(1);
				});
			}
		}

		it('returns an answer that ends with its connection', async () => {
			answerWith(({id}) => `${head(id)}\r\nwhole`, 'close');
			expect(await outcomeOf('a')).to.equal('200 whole');
			expect(await connectionOfNext()).to.equal(1);
		});

		it('rejects an answer that ends with a reset of its connection', async () => {
			answerWith(({id}) => `${head(id)}\r\nhalf`, 'reset');
			expect(await outcomeOf('a')).to.equal('lost answerCut');
			expect(await connectionOfNext()).to.equal(1);
		});
	});

	describe('when an answer is malformed', () => {
		// Two readings of the same bytes are possible, and the next answer could begin
		// in the middle of this one.
		const head = (id: string) =>
			`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: s\r\n`;
		const cases: Record<string, (id: string) => string> = {
			'bytes that are no answer': () => 'SSH-2.0-Server\r\n\r\n',
			'two lengths': (id) =>
				`${head(id)}Content-Length: 2\r\nContent-Length: 4\r\n\r\nfour`,
			'a length and chunks': (id) =>
				`${head(id)}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
			'a length that is no number': (id) =>
				`${head(id)}Content-Length: 4x\r\n\r\nfour`,
			'a negative length': (id) => `${head(id)}Content-Length: -4\r\n\r\nfour`,
			'a folded header name': (id) => `${head(id)}X Y: 1\r\n\r\n`,
			'a header name with a space within a whole answer': (id) =>
				createAnswer(id, 'done', ['Transfer Encoding: chunked']),
			'a header name with a space behind many headers': (id) =>
				createAnswer(id, 'done', [
					...Array.from({length: 80}, (_, index) => `X-${index}: x`),
					'X Y: 1',
				]),
			'a header name with a space, also before another answer': (id) =>
				createAnswer(id, 'done', ['X Y: 1']) + createAnswer(id, 'other'),
			'a header name that ends in a space': (id) =>
				createAnswer(id, 'done', ['X : 1']),
			'headers above 16 KB': (id) =>
				`${head(id)}X-Long: ${'x'.repeat(20_000)}\r\nContent-Length: 0\r\n\r\n`,
			'an answer that expects the request to continue': (id) =>
				`HTTP/1.1 100 Continue\r\n\r\n${createAnswer(id)}`,
			'another protocol': () =>
				'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
		};
		for (const [fault, text] of Object.entries(cases)) {
			it(`closes the connection on ${fault}`, async () => {
				answerWith(({id}) => text(id));
				expect(await outcomeOf('a')).to.equal('lost connectionLost');
				expect(await connectionOfNext()).to.equal(1);
			});
		}

		it('closes the connection on a chunk without a valid size', async () => {
			answerWith(
				({id}) =>
					`${head(id)}Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n`,
			);
			expect(await outcomeOf('a')).to.equal('lost answerCut');
			expect(await connectionOfNext()).to.equal(1);
		});
	});

	it('returns an answer that arrives before a long body is sent', async () => {
		// The target rejects an upload by its headers and does not read the rest.
		target.setBehaviour(({socket, id}) => {
			socket.pause();
			socket.write(createAnswer(id, 'early'));
		});
		const body = Buffer.alloc(32 * 1024 * 1024);
		expect(await outcomeOf('a', {method: 'POST', body})).to.equal('200 early');
	});

	describe('when an answer is too large to be held whole', () => {
		const size = 3_000_000;

		/** Runs a request with a large answer, and returns its stream. */
		const openStream = async (id: string) => {
			const outcome = await run(id);
			expect(outcome.kind).to.equal('answered');
			return (outcome as Outcome & {kind: 'answered'}).stream!;
		};

		/** Reads a stream to its end; returns its bytes, or how it ended otherwise. */
		const readAll = async (stream: BodyStream) =>
			new Promise<string>((resolve) => {
				const parts: Uint8Array[] = [];
				stream.read({
					onPart(part) {
						parts.push(part);
						stream.release(part.byteLength);
					},
					onEnd() {
						resolve(Buffer.concat(parts).toString('latin1'));
					},
					onCut() {
						resolve('cut');
					},
				});
			});

		it('passes it on while it arrives, and uses the connection again', async () => {
			const body = 'abc'.repeat(size / 3);
			answerWith(({id}) => createAnswer(id, body));
			const stream = await openStream('a');
			expect(stream.size).to.equal(size);
			expect((await readAll(stream)) === body).to.equal(true);
			expect(await connectionOfNext()).to.equal(0);
			expect(budget.held.streams).to.equal(0);
		});

		it('reads no more than fits into the memory until it is passed on', async () => {
			budget.add('streams', 350_000_000);
			answerWith(({id}) => createAnswer(id, 'x'.repeat(20 * size)));
			const stream = await openStream('a');
			const held = () => budget.held.streams - 350_000_000;
			await waitForTurn(() => held() > 0);
			const {socket} = target.requests[0]!;
			await waitForTurn(() => socket.writableLength > 0);
			await new Promise(setImmediate);
			expect(held()).to.be.below(2_000_000);
			expect(await readAll(stream)).to.have.length(20 * size);
		});

		it('cuts it off when its connection ends before it is complete', async () => {
			answerWith(
				({id}) => createAnswer(id, 'x'.repeat(size)).slice(0, -1),
				'close',
			);
			expect(await readAll(await openStream('a'))).to.equal('cut');
		});

		it('closes its connection when it is not needed any more', async () => {
			answerWith(({id}) => createAnswer(id, 'x'.repeat(size)).slice(0, -1));
			const stream = await openStream('a');
			stream.cancel();
			await waitForTurn(() => target.connections.size === 0);
			expect(budget.held.streams).to.equal(0);
		});

		it('drops the body of a declined request', async () => {
			answerWith(
				({id}) =>
					`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\nContent-Length: ${size}\r\n\r\n${'x'.repeat(size)}`,
			);
			expect(await outcomeOf('a')).to.equal('declined 503');
			expect(budget.held.streams).to.equal(0);
		});
	});

	describe('the connections', () => {
		it('are used again, the last used first', async () => {
			const held: RawRequest[] = [];
			target.setBehaviour((request) => held.push(request));
			const first = run('a');
			const second = run('b');
			await waitForTurn(() => held.length === 2);
			for (const id of ['b', 'a']) {
				const {socket} = held.find((request) => request.id === id)!;
				socket.write(createAnswer(id));
				// eslint-disable-next-line no-await-in-loop -- the order of the ends decides.
				await (id === 'a' ? first : second);
			}

			const last = held.find(({id}) => id === 'a')!.connection;
			expect(await connectionOfNext()).to.equal(last);
			expect(await connectionOfNext()).to.equal(last);
		});

		it('are not used again when the target closes them or is about to', async () => {
			const answerAndClose = async (line: string) => {
				answerWith(({id}) => createAnswer(id, 'x', [line]));
				await run('a');
				await waitForTurn(() => target.connections.size === 0);
			};

			await answerAndClose('Connection: close');
			await answerAndClose('Keep-Alive: timeout=1');
			answerWith(({id}) => createAnswer(id, 'x', ['Keep-Alive: timeout=9']));
			await run('a');
			expect(await connectionOfNext()).to.equal(2);
		});

		it('are closed after the idle time that the target states, less a margin', async () => {
			// A request sent when the target is about to close would be lost with its
			// connection. The last one is released a second later and closed later.
			const held: RawRequest[] = [];
			target.setBehaviour((request) => held.push(request));
			const running = new Map(['a', 'b', 'c'].map((id) => [id, run(id)]));
			await waitForTurn(() => held.length === 3);
			const release = async ({socket, id}: RawRequest) => {
				socket.write(createAnswer(id, 'x', ['Keep-Alive: timeout=5']));
				await running.get(id);
			};

			await release(held[0]!);
			await release(held[1]!);
			clock.advanceTo(1000);
			await release(held[2]!);
			clock.advanceTo(2999);
			expect(target.connections.size).to.equal(3);
			clock.advanceTo(3000);
			await waitForTurn(() => target.connections.size === 1);
			clock.advanceTo(3999);
			expect(target.connections.has(held[2]!.socket)).to.equal(true);
			clock.advanceTo(4000);
			await waitForTurn(() => target.connections.size === 0);
			expect(clock.pending()).to.equal(0);
		});

		it('that the target has closed while idle cost no request', async () => {
			// After a stall the node finds the end and the next request at once.
			await run('a');
			await new Promise(setImmediate);
			target.requests[0]!.socket.destroy();
			expect(await connectionOfNext()).to.equal(1);
		});

		it('are closed with the request that is cancelled', async () => {
			target.setBehaviour(() => undefined);
			let outcomes = 0;
			const cancel = client.run(
				createTargetRequest('a'),
				900,
				() => outcomes++,
			);
			await waitForTurn(() => target.requests.length === 1);
			cancel();
			await waitForTurn(() => target.requests[0]!.socket.destroyed);
			expect(await connectionOfNext()).not.to.equal(0);
			expect(outcomes).to.equal(0);
		});

		it('are closed with their client once idle', async () => {
			await run('idle');
			target.setBehaviour(() => undefined);
			const running = run('a');
			await waitForTurn(() => target.requests.length === 2);
			client.close();
			target.requests[1]!.socket.write(createAnswer('a'));
			const {kind} = await running;
			expect(kind).to.equal('answered');
			await waitForTurn(() => target.connections.size === 0);
		});
	});

	describe('when the client is closed, as with each renewal and each new incarnation', () => {
		// The node replaces its client while requests run; none of them may end with the idle connections.
		it('still sends a request that waits until what has arrived is read', async () => {
			await run('idle');
			const waiting = outcomeOf('waiting');
			client.close();
			expect(await waiting).to.equal('200 done');
			await waitForTurn(() => target.connections.size === 0);
		});

		it('still returns an answer that has arrived but is not read yet', async () => {
			target.setBehaviour(() => undefined);
			const running = outcomeOf('a');
			await waitForTurn(() => target.requests.length === 1);
			target.requests[0]!.socket.write(createAnswer('a'));
			client.close();
			expect(await running).to.equal('200 done');
		});

		it('still returns an answer that arrives in parts afterwards', async () => {
			target.setBehaviour(({socket, id}) => {
				socket.write(createAnswer(id, 'x'.repeat(1000)).slice(0, 300));
			});
			const running = outcomeOf('a');
			await waitForTurn(() => target.requests.length === 1);
			client.close();
			await nextTurn();
			target.requests[0]!.socket.write(
				createAnswer('a', 'x'.repeat(1000)).slice(300),
			);
			expect(await running).to.equal(`200 ${'x'.repeat(1000)}`);
		});
	});

	it('closes no connection that carries a request when the idle time of its last answer is over', async () => {
		// The idle time counts from the last answer; the next request may run longer than that.
		answerWith(({id}) => createAnswer(id, 'x', ['Keep-Alive: timeout=5']));
		await run('a');
		await run('idle');
		const held: RawRequest[] = [];
		target.setBehaviour((request) => held.push(request));
		const running = outcomeOf('b');
		await waitForTurn(() => held.length === 1);
		expect(held[0]!.connection).to.equal(0);
		clock.advanceTo(60_000);
		await nextTurn();
		held[0]!.socket.write(createAnswer('b'));
		expect(await running).to.equal('200 done');
	});

	it('reports a target that refuses connections, and that the request has not run', async () => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		server.close();
		await once(server, 'close');
		client.close();
		client = createClient(`127.0.0.1:${port}`);
		expect(await outcomeOf('a')).to.equal('refused targetUnreachable');
		expect(unreachable).to.have.length(1);
	});

	it('sends a request whose connection was open before its timeout is handled', async () => {
		// After a stall of this node's process, timers run before the connection is known to be open: the request was refused, and the target got no work until its next announcement.
		const outcome = await new Promise<string>((resolve) => {
			setTimeout(() => {
				resolve(outcomeOf('a'));
				clock.advanceTo(500);
			}, 0);
		});
		expect(outcome).to.equal('200 done');
		expect(unreachable).to.have.length(0);
	});

	it('does not send a request that is cancelled while its connection opens', async () => {
		let outcomes = 0;
		const cancel = client.run(createTargetRequest('a'), 900, () => outcomes++);
		cancel();
		await connectionOfNext();
		expect(target.requests.map(({id}) => id)).to.deep.equal(['next']);
		expect(outcomes).to.equal(0);
	});
});
