/**
 * Callers at and beyond the limits. What a connection holds without becoming a
 * request took a process over its memory.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
	maxConnections,
	startCallerListener,
	succeed,
	waitUntil,
	type CallerListenerFixture,
} from './caller-listener-fixture.js';

const head = 'POST /upload HTTP/1.1\r\nHost: x\r\nTime-Left: 100000\r\n';
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;

describe('the limits of the listener for callers', () => {
	let fixture: CallerListenerFixture;
	let others: Socket[];

	beforeEach(async () => {
		others = [];
		fixture = await startCallerListener();
	});

	afterEach(() => {
		for (const socket of others) {
			socket.destroy();
		}

		fixture.close();
	});

	/** Lets the clock advance in steps until the condition holds. */
	const advanceUntil = async (condition: () => boolean) => {
		while (!condition()) {
			fixture.clock.advanceTo(fixture.clock.now() + 50);
			// eslint-disable-next-line no-await-in-loop -- one turn after the other.
			await nextTurn();
		}
	};

	const advance = async (time: number) => {
		const until = fixture.clock.now() + time;
		await advanceUntil(() => fixture.clock.now() >= until);
	};

	/** Opens a further connection; resolves with what it receives. */
	const open = async () => {
		const [, port] = fixture.address.split(':');
		const socket = connect(Number(port), '127.0.0.1');
		others.push(socket);
		const received = {socket, text: '', isClosed: false};
		socket.on('error', () => undefined);
		socket.on('data', (chunk) => {
			received.text += chunk.toString('latin1');
		});
		socket.on('close', () => {
			received.isClosed = true;
		});
		await once(socket, 'connect');
		return received;
	};

	describe('on bodies', () => {
		// Guards against a list of parts, each of which takes hundreds of bytes.
		it('lets one arrive in chunks of one byte', async () => {
			const size = 20_000;
			fixture.caller.write(`${chunked}${'1\r\nx\r\n'.repeat(size)}0\r\n\r\n`);
			await advanceUntil(() => fixture.received.length === 1);
			expect(fixture.received[0]!.request.body!.byteLength).to.equal(size);
		});

		it('refuse one that stops before its end, as not run', async () => {
			fixture.caller.write(`${chunked}1\r\nx\r\n`);
			await waitUntil(() => fixture.budget.held.smallBodies > 0);
			await advance(14_000);
			expect(fixture.text).to.equal('');
			await advanceUntil(() => fixture.text !== '');
			expect(fixture.text).to.match(/^HTTP\/1\.1 503 /u);
			expect(fixture.text).to.match(/connection: close/iu);
			expect(fixture.budget.held.smallBodies).to.equal(0);
			expect(fixture.received).to.deep.equal([]);
		});

		// Guards against senders that stop and keep the memory that others wait for.
		it('refuse one that has stopped if another waits for memory', async () => {
			fixture.listener.applyLimits({
				headerBytes: 1000,
				bodyBytes: 90_000_000,
				headerTime: 3000,
				idleTime: 60_000,
			});
			fixture.caller.write(`${head}Content-Length: 90000000\r\n\r\nx`);
			await waitUntil(() => fixture.budget.held.largeBodies > 0);
			const other = await open();
			const size = 10_000_000;
			other.socket.write(`${head}Content-Length: ${size}\r\n\r\n`);
			other.socket.write(Buffer.alloc(size));
			await waitUntil(() => fixture.budget.isAwaited());
			await advance(500);
			expect(fixture.text).to.equal('');
			await advanceUntil(() => fixture.text !== '');
			expect(fixture.text).to.match(/^HTTP\/1\.1 503 /u);
			await waitUntil(() => fixture.received.length === 1);
			expect(fixture.received[0]!.request.body!.byteLength).to.equal(size);
		});
	});

	describe('on heads', () => {
		it('answer 431 to one that is too large', async () => {
			fixture.caller.write(`GET / HTTP/1.1\r\nNote: ${'x'.repeat(40_000)}`);
			await waitUntil(() => fixture.text !== '');
			expect(fixture.text).to.match(/^HTTP\/1\.1 431 /u);
		});

		it('answer 431 to one with more fields than Node keeps', async () => {
			fixture.caller.write(
				`GET / HTTP/1.1\r\nHost: x\r\n${'a:\r\n'.repeat(300)}\r\n`,
			);
			await waitUntil(() => fixture.text !== '');
			expect(fixture.text).to.match(/^HTTP\/1\.1 431 /u);
		});

		it('answer 408 to one that does not end in time', async () => {
			fixture.caller.write('GET / HTTP/1.1\r\nHost');
			await advance(2500);
			expect(fixture.text).to.equal('');
			await advanceUntil(() => fixture.text !== '');
			expect(fixture.text).to.match(/^HTTP\/1\.1 408 /u);
		});

		// Guards against empty lines, which Node's parser skips without end.
		it('end empty lines behind a request, after its answer', async () => {
			const {answer} = await fixture.send('GET /', ['']);
			await advance(200);
			fixture.caller.write('\r\n'.repeat(100));
			await advance(1000);
			answer(succeed(Buffer.from('done')));
			await advanceUntil(() => fixture.text.includes('408'));
			expect(fixture.text).to.match(/^HTTP\/1\.1 200 [^]*done/u);
		});
	});

	describe('on requests sent ahead', () => {
		// Guards against a slow reader for whom the answers to all of its requests are held.
		it('start a few before the answers to them are sent', async () => {
			fixture.caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(10));
			await waitUntil(() => fixture.received.length === 4);
			await advance(1000);
			expect(fixture.received).to.have.length(4);
			fixture.received[1]!.answer(succeed(Buffer.from('second')));
			await advance(100);
			expect(fixture.received).to.have.length(4);
			fixture.received[0]!.answer(succeed(Buffer.from('first')));
			await waitUntil(() => fixture.received.length === 6);
			fixture.caller.destroy();
			await waitUntil(() =>
				fixture.received.every(({hasLeft}, index) => hasLeft || index < 2),
			);
			expect(fixture.received).to.have.length(6);
		});

		// Guards against requests without end whose answers nobody reads.
		it('close the connection behind the last one that is accepted', async () => {
			let isEnded = false;
			fixture.caller.once('end', () => {
				isEnded = true;
			});
			fixture.caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(1000));
			let answered = 0;
			await waitUntil(() => {
				for (const {answer} of fixture.received.slice(answered)) {
					answered++;
					answer(succeed(Buffer.from('done')));
				}

				return isEnded;
			});
			expect(answered).to.equal(256);
			expect(fixture.text.match(/HTTP\/1\.1 200 /gu)).to.have.length(256);
			expect(fixture.text.match(/connection: close/giu)).to.have.length(1);
		});
	});

	describe('on answers', () => {
		// Guards against a share for answers that stays used up, so that all requests are refused.
		it('count none that waits behind another one once the caller has left', async () => {
			fixture.caller.pause();
			fixture.caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n'.repeat(2));
			await waitUntil(() => fixture.received.length === 2);
			for (const {answer} of fixture.received.toReversed()) {
				answer(succeed(Buffer.alloc(9_000_000)));
			}

			expect(fixture.budget.isFull('responses')).to.equal(true);
			fixture.caller.destroy();
			await waitUntil(() => fixture.budget.held.responses === 0);
		});

		// Guards against answers that nobody reads, which took the process over its memory.
		it('close the connection that holds most of them', async () => {
			const other = await open();
			fixture.caller.pause();
			const request = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';
			fixture.caller.write(request.repeat(4));
			await waitUntil(() => fixture.received.length === 4);
			other.socket.write(request);
			await waitUntil(() => fixture.received.length === 5);
			for (const {answer} of fixture.received.slice(0, 4)) {
				answer(succeed(Buffer.alloc(20_000_000)));
			}

			await waitUntil(() => fixture.budget.held.responses === 0);
			fixture.received[4]!.answer(succeed(Buffer.from('done')));
			await waitUntil(() => other.text.endsWith('done'));
			expect(fixture.cut).to.deep.equal([{cause: 'limit', requests: 4}]);
		});
	});

	describe('on connections', () => {
		// Guards against silent connections that keep ordinary callers out.
		it('close one without a request for a new one', async () => {
			const silent = await Promise.all(
				Array.from({length: maxConnections + 1}, async () => open()),
			);
			await waitUntil(() => silent.some(({isClosed}) => isClosed));
			const last = await open();
			last.socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
			await waitUntil(() => fixture.received.length === 1);
		});

		it('close one on which nothing is ever sent', async () => {
			const silent = await open();
			await advance(17_000);
			expect(silent.isClosed).to.equal(false);
			await advanceUntil(() => silent.isClosed);
		});
	});
});
