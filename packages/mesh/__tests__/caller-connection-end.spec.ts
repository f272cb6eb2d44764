import {Buffer} from 'node:buffer';
import {
	setImmediate as nextTurn,
	setTimeout as pause,
} from 'node:timers/promises';
import {expect} from 'chai';
import {
	startCallerListener,
	succeed,
	waitUntil,
	type CallerListenerFixture,
	type Received,
} from './caller-listener-fixture.js';

describe('the listener for callers at the end of a connection', () => {
	let fixture: CallerListenerFixture;

	beforeEach(async () => {
		fixture = await startCallerListener();
	});

	afterEach(() => {
		fixture.close();
	});

	const request = (path: string, lines: string[] = []) =>
		[`GET ${path} HTTP/1.1`, 'Host: x', ...lines, '', ''].join('\r\n');
	const pathsOf = (entries: Received[]) =>
		entries.map(({request: {path}}) => path);
	const answerAll = () => {
		for (const {
			answer,
			request: {path},
		} of fixture.received) {
			answer(succeed(Buffer.from(`<${path}>`)));
		}
	};

	const statuses = () =>
		[...fixture.text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) =>
			Number(status),
		);

	// Guards against accepted requests that are cut by the answer to an earlier one on their connection.
	it('keeps a connection open during a stop for accepted requests behind an answer', async () => {
		fixture.caller.write(request('/1') + request('/2') + request('/3'));
		await waitUntil(() => fixture.received.length === 3);
		fixture.isStopping = true;
		answerAll();
		await waitUntil(() => fixture.caller.readableEnded);
		expect(fixture.text).to.match(/<\/1>[^]*<\/2>[^]*<\/3>$/);
		expect(fixture.text.split('Connection: close')).to.have.length(2);
		expect(fixture.text.indexOf('Connection: close')).to.be.above(
			fixture.text.indexOf('</2>'),
		);
	});

	// Guards against work for a request whose answer can't be sent any more.
	it('drops requests that arrive behind an answer that closes the connection', async () => {
		fixture.caller.write(request('/1') + request('/2'));
		await waitUntil(() => fixture.received.length === 2);
		fixture.isStopping = true;
		fixture.received[1]!.answer(succeed(Buffer.from('second')));
		fixture.caller.write(request('/3'));
		await nextTurn();
		fixture.received[0]!.answer(succeed(Buffer.from('first')));
		await waitUntil(() => fixture.caller.readableEnded);
		expect(pathsOf(fixture.received)).to.deep.equal(['/1', '/2']);
		expect(fixture.text).to.match(/first[^]*Connection: close[^]*second$/);
	});

	/** Bytes that end a connection, and the status of the node's answer to them behind other answers. */
	const faults: Record<string, [bytes: string, statuses: number[]]> = {
		'bytes that are no request': ['\u0000no request\r\n\r\n', []],
		'a request for a tunnel': ['CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n', []],
		'a request without a host': ['GET /4 HTTP/1.1\r\n\r\n', [400]],
		'headers above the limit': [
			request('/4', [`X: ${'x'.repeat(2000)}`]),
			[431],
		],
		'headers above the limit of the parser': [
			request('/4', [`X: ${'x'.repeat(300_000)}`]),
			[],
		],
	};
	const expectAnswersBefore = async (bytes: string, rest: number[]) => {
		fixture.caller.write(request('/1') + request('/2') + bytes + request('/5'));
		await waitUntil(() => fixture.received.length === 2);
		for (let turn = 0; turn < 20; turn++) {
			// eslint-disable-next-line no-await-in-loop -- the rest arrives.
			await nextTurn();
		}

		answerAll();
		await waitUntil(() => fixture.caller.readableEnded);
		expect(pathsOf(fixture.received)).to.deep.equal(['/1', '/2']);
		expect(fixture.text).to.match(/<\/1>[^]*<\/2>/);
		expect(statuses()).to.deep.equal([200, 200, ...rest]);
	};

	for (const [name, [bytes, rest]] of Object.entries(faults)) {
		// Guards against accepted requests that are cut because of what follows them on their connection.
		it(`answers accepted requests before ${name}`, async () =>
			expectAnswersBefore(bytes, rest));
	}

	// Guards against a 400 in the place of the answer to an upload that arrived whole before malformed bytes.
	it('answers an upload that arrives together with bytes that are no request', async () => {
		fixture.caller.write(
			'POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody\u0000no request\r\n\r\n',
		);
		await waitUntil(
			() => fixture.received.length === 1 || fixture.caller.readableEnded,
		);
		answerAll();
		await waitUntil(() => fixture.caller.readableEnded);
		expect(statuses()[0]).to.equal(200);
	});

	// Guards against requests that are cut because a body before them was too large.
	it('answers accepted requests behind a body above the limit', async () => {
		fixture.caller.write(
			`POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n${'x'.repeat(100_001)}${request('/2')}`,
		);
		await waitUntil(() => fixture.received.length === 1);
		await waitUntil(() => statuses().length === 1);
		answerAll();
		await waitUntil(() => statuses().length === 2);
		expect(fixture.text).to.match(/ 413 [^]*<\/2>$/);
	});

	// Guards against an answer that is lost because its connection is reset by bytes that arrive behind it.
	it('reads on after the last answer until the caller closes', async () => {
		const {answer} = await fixture.send('GET /1');
		const size = 2_000_000;
		fixture.caller.pause();
		fixture.isStopping = true;
		answer(succeed(Buffer.alloc(size, 'x')));
		for (let sent = 0; sent < 20; sent++) {
			fixture.caller.write(request('/2').repeat(50));
			// eslint-disable-next-line no-await-in-loop -- bytes arrive before, while and after the answer is sent.
			await nextTurn();
		}

		fixture.caller.resume();
		await waitUntil(
			() => fixture.caller.readableEnded || fixture.caller.destroyed,
		);
		expect(fixture.text.length).to.be.above(size);
		expect(fixture.received).to.have.length(1);
	});

	// Guards against a stop that ends before a slow caller has received its answer.
	it('counts a request until its answer is sent', async () => {
		const {answer} = await fixture.send('GET /1');
		expect(fixture.listener.pending()).to.equal(1);
		fixture.caller.pause();
		answer(succeed(Buffer.alloc(20_000_000, 'x')));
		await nextTurn();
		expect(fixture.listener.pending()).to.equal(1);
		fixture.caller.resume();
		await waitUntil(() => fixture.listener.pending() === 0);
		// The last bytes were sent, but may still have to be read here.
		await waitUntil(() => fixture.text.length > 20_000_000);
	});

	// Guards against requests that cross the close of a connection which callers may still use, by the new limit.
	it('keeps idle connections open for a longer idle time that is configured meanwhile', async () => {
		const limits = {headerBytes: 1000, bodyBytes: 1000, headerTime: 3000};
		fixture.listener.applyLimits({...limits, idleTime: 100});
		const first = await fixture.send('GET /1');
		first.answer(succeed(Buffer.from('x')));
		await waitUntil(() => fixture.text.endsWith('x'));
		fixture.listener.applyLimits({...limits, idleTime: 15_000});
		await pause(1300);
		expect(fixture.caller.readableEnded).to.equal(false);
		await fixture.send('GET /2');
	});

	// Guards against requests that cross the close of a connection which the last answer promised to keep open.
	it('keeps idle connections open as promised after a shorter idle time was configured', async () => {
		const limits = {headerBytes: 1000, bodyBytes: 1000, headerTime: 3000};
		const first = await fixture.send('GET /1');
		first.answer(succeed(Buffer.from('x')));
		await waitUntil(() => fixture.text.endsWith('x'));
		expect(fixture.text).to.match(/Keep-Alive: timeout=15\r\n/);
		fixture.listener.applyLimits({...limits, idleTime: 100});
		await pause(300);
		expect(fixture.caller.readableEnded).to.equal(false);
		await fixture.send('GET /2');
	});

	it('counts requests whose bodies are arriving', async () => {
		fixture.caller.write(
			'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nhalf'.slice(
				0,
				-2,
			),
		);
		await waitUntil(() => fixture.listener.receiving() === 1);
		expect(fixture.listener.pending()).to.equal(0);
		fixture.caller.write('lf');
		await waitUntil(() => fixture.received.length === 1);
		expect(fixture.listener.receiving()).to.equal(0);
		expect(fixture.listener.pending()).to.equal(1);
	});
});
