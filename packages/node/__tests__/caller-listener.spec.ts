import {once} from 'node:events';
import {
	setImmediate as nextTurn,
	setTimeout as wait,
} from 'node:timers/promises';
import {expect} from 'chai';
import {
	readAnswers,
	startCallerListener,
	writeRequest,
	type CallerListenerFixture,
	type RawAnswer,
} from './caller-listener-fixture.js';

const summarize = (answers: RawAnswer[]) =>
	answers.map(({status, headers, body}) =>
		status === 200 ? body : `${status} ${headers['egretspoke-outcome'] ?? ''}`,
	);

describe('the caller listener', () => {
	let fixture: CallerListenerFixture;

	const start = async (
		...options: Parameters<typeof startCallerListener>
	): Promise<void> => {
		fixture = await startCallerListener(...options);
	};

	afterEach(async () => {
		await fixture.close();
	});

	describe('with answers that their callers do not read', () => {
		beforeEach(async () => start());

		// Unread answers of any number could exceed the memory of the VM and end the process with all requests in it.
		it('refuses requests as not run until the answers are read', async () => {
			const slow = await fixture.connect();
			slow.pause();
			slow.write(writeRequest('/large'));
			const large = await fixture.waitFor('/large');
			large.answer('x'.repeat(16 * 1024 * 1024));
			await nextTurn();

			const refused = await fixture.connect();
			refused.write(writeRequest('/refused', 'connection: close'));
			expect(summarize(await readAnswers(refused))).to.deep.equal([
				'503 not-run',
			]);
			expect(fixture.passed()).to.deep.equal(['/large']);

			slow.destroy();
			const caller = await fixture.connect();
			while (!fixture.passed().includes('/accepted')) {
				caller.write(writeRequest('/accepted'));
				// eslint-disable-next-line no-await-in-loop -- until the listener has noticed the disconnect.
				await nextTurn();
			}
		});
	});

	describe('when an answer has no body by its method or status', () => {
		beforeEach(async () => start());

		// Guards against a stated length of 0, which a cache takes for the size of the body that is left out.
		const cases: Array<[string, number]> = [
			['HEAD', 200],
			['GET', 204],
			['GET', 304],
		];
		const expectNoLength = async (method: string, status: number) => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(writeRequest('/a').replace('GET', method));
			const first = await fixture.waitFor('/a');
			first.answer('', status);
			socket.write(writeRequest('/next', 'connection: close'));
			const next = await fixture.waitFor('/next');
			next.answer();
			const [empty, other] = await answers;
			expect(empty).to.include({status, body: ''});
			expect(empty!.headers).not.to.have.any.keys(
				'content-length',
				'transfer-encoding',
			);
			expect(other).to.include({status: 200, body: '/next'});
		};

		for (const [method, status] of cases) {
			it(`states no length (${method}, ${status})`, async () =>
				expectNoLength(method, status));
		}
	});

	describe('draining', () => {
		beforeEach(async () => start());

		// Guards against answers lost behind one that closes their connection.
		it('answers every request of a connection that was passed on before', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(writeRequest('/first') + writeRequest('/second'));
			const first = await fixture.waitFor('/first');
			const second = await fixture.waitFor('/second');
			const drained = fixture.listener.drain();
			first.answer();
			await nextTurn();
			second.answer();
			await drained;
			const seen = await answers;
			expect(summarize(seen)).to.deep.equal(['/first', '/second']);
			expect(seen[0]!.headers.connection).not.to.equal('close');
			expect(seen[1]!.headers.connection).to.equal('close');
		});

		// Guards against a large answer cut by the close while its caller reads slowly.
		it('resolves after the last byte of an answer has been sent', async () => {
			const body = 'x'.repeat(16 * 1024 * 1024);
			const socket = await fixture.connect();
			socket.pause();
			socket.write(writeRequest('/large'));
			const large = await fixture.waitFor('/large');
			large.answer(body);
			await nextTurn();
			const stopped = (async () => {
				await fixture.listener.drain();
				await fixture.listener.close('stop');
			})();
			await nextTurn();
			const answers = readAnswers(socket);
			socket.resume();
			const [answer] = await answers;
			await stopped;
			expect(answer!.body.length).to.equal(body.length);
		});

		// Guards against requests taken after the end of acceptance and cut.
		it('refuses requests that arrive afterwards as not run', async () => {
			const [busy, late] = [await fixture.connect(), await fixture.connect()];
			busy.write(writeRequest('/running'));
			const running = await fixture.waitFor('/running');
			const drained = fixture.listener.drain();
			late.write(writeRequest('/late'));
			const [refusal] = await readAnswers(late);
			expect(refusal!.status).to.equal(503);
			expect(refusal!.headers).to.include({
				'egretspoke-outcome': 'not-run',
				'egretspoke-error': '207 Leaving',
				'retry-after': '0',
				connection: 'close',
			});
			running.answer();
			expect(summarize(await readAnswers(busy))).to.deep.equal(['/running']);
			await drained;
			expect(fixture.passed()).to.deep.equal(['/running']);
		});

		// Guards against an upload that ends without an answer at a stop.
		it('refuses an upload that has not arrived completely', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(`${writeRequest('/upload', 'content-length: 10')}half`);
			await nextTurn();
			socket.write('!');
			await nextTurn();
			await fixture.listener.drain();
			expect(summarize(await answers)).to.deep.equal(['503 not-run']);
		});
	});

	describe('closing', () => {
		beforeEach(async () => start());

		// Guards against a stop that ends requests without an answer.
		it('answers requests that are still running as unknown', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(writeRequest('/running'));
			const {signal} = await fixture.waitFor('/running');
			await fixture.listener.close('stop');
			expect(summarize(await answers)).to.deep.equal(['502 unknown']);
			expect(signal.aborted).to.equal(true);
		});

		it('closes connections without requests', async () => {
			const socket = await fixture.connect();
			const closed = once(socket.resume(), 'close');
			await fixture.listener.close('stop');
			await closed;
		});

		it('reports the cut requests and answers by cause', async () => {
			const socket = await fixture.connect();
			socket.pause();
			socket.write(writeRequest('/large') + writeRequest('/running'));
			const large = await fixture.waitFor('/large');
			await fixture.waitFor('/running');
			large.answer('x'.repeat(16 * 1024 * 1024));
			await nextTurn();
			expect(await fixture.listener.close('stop')).to.equal(1);
			expect(fixture.events).to.deep.equal([
				{name: 'requestsGivenUp', cause: 'stop', requests: 1},
				{name: 'requestsCut', cause: 'stop', requests: 2, answered: 2},
			]);
			socket.destroy();
		});
	});

	describe('with a fault behind a request that was passed on', () => {
		const faults: Record<string, {bytes: string; status?: number}> = {
			'bytes that are not HTTP': {bytes: '\u0016 hello\r\n\r\n'},
			'headers over the limit': {
				bytes: writeRequest('/b', `cookie: ${'x'.repeat(8192)}`),
			},
			'a request without a host': {
				bytes: 'GET /b HTTP/1.1\r\negretspoke-service: orders\r\n\r\n',
				status: 400,
			},
			'a CONNECT': {
				bytes: 'CONNECT b:1 HTTP/1.1\r\nhost: b:1\r\n\r\n',
			},
			'a body over the limit': {
				bytes: `${writeRequest('/b', `content-length: ${2 ** 40}`)}bytes`,
				status: 413,
			},
			'headers that stop half-way': {
				bytes: 'GET /b HTTP/1.1\r\nhost: n',
			},
			'a body that stops half-way': {
				bytes: `${writeRequest('/b', 'content-length: 100')}half`,
			},
		};

		beforeEach(async () => start({requestTimeout: 200}));

		const expectAnswers = async (bytes: string, status?: number) => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(writeRequest('/first') + bytes);
			const first = await fixture.waitFor('/first');
			// Longer than the request timeout with its check.
			await wait(500);
			first.answer();
			expect(summarize(await answers)).to.deep.equal(
				status === undefined ? ['/first'] : ['/first', `${status} not-run`],
			);
		};

		for (const [name, {bytes, status}] of Object.entries(faults)) {
			// Guards against an error answer that takes the place of an earlier answer.
			it(`answers that request before ${name}`, async () =>
				expectAnswers(bytes, status));
		}
	});

	describe('with an upload before the last request of a connection', () => {
		beforeEach(async () => start());

		// Guards against an upload that is dropped because a request behind it, in the same packet, is the last one.
		it('answers both', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			const upload = `${writeRequest('/first', 'content-length: 4')}body`;
			socket.write(`${upload}GET /b HTTP/1.1\r\n\r\n`);
			const first = await fixture.waitFor('/first');
			first.answer();
			expect(summarize(await answers)).to.deep.equal(['/first', '400 not-run']);
		});
	});

	describe('with requests behind the last one of a connection', () => {
		beforeEach(async () => start());

		const lasts: Record<string, string> = {
			'the caller closes': writeRequest('/last', 'connection: close'),
			'HTTP/1.0 closes': writeRequest('/last').replace('HTTP/1.1', 'HTTP/1.0'),
		};

		const expectOneAnswer = async (bytes: string) => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(bytes + writeRequest('/behind'));
			const last = await fixture.waitFor('/last');
			last.answer();
			expect(summarize(await answers)).to.deep.equal(['/last']);
			expect(fixture.passed()).to.deep.equal(['/last']);
		};

		for (const [name, bytes] of Object.entries(lasts)) {
			// Guards against requests that run although their answer can't be sent.
			it(`passes none of them on when ${name}`, async () =>
				expectOneAnswer(bytes));
		}
	});

	describe('with a request without a host of HTTP/1.0', () => {
		beforeEach(async () => start());

		// Guards against a refusal of requests that HTTP/1.0 allows.
		it('passes it on', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write('GET /old HTTP/1.0\r\negretspoke-service: orders\r\n\r\n');
			const old = await fixture.waitFor('/old');
			old.answer();
			expect(summarize(await answers)).to.deep.equal(['/old']);
		});
	});

	describe('with a request behind one without a host', () => {
		beforeEach(async () => start());

		// Guards against a request that runs and whose answer is lost behind a refusal.
		it('answers both', async () => {
			const socket = await fixture.connect();
			const answers = readAnswers(socket);
			socket.write(`GET /first HTTP/1.1\r\n\r\n${writeRequest('/behind')}`);
			const behind = await fixture.waitFor('/behind');
			behind.answer();
			await fixture.listener.drain();
			await fixture.listener.close('stop');
			expect(summarize(await answers)).to.deep.equal([
				'400 not-run',
				'/behind',
			]);
		});
	});
});
