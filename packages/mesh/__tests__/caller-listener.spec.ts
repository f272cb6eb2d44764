import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	startCallerListener,
	succeed,
	waitUntil,
	type CallerListenerFixture,
} from './caller-listener-fixture.js';

describe('the listener for callers', () => {
	let fixture: CallerListenerFixture;

	beforeEach(async () => {
		fixture = await startCallerListener();
	});

	afterEach(() => {
		fixture.close();
	});

	it('passes the parts of a request on, without the headers that only nodes set', async () => {
		const {request} = await fixture.send('GET /work?x=1', [
			'Request-Id: a',
			'Request-Id: b',
			'TIME-LEFT: 900',
			'Workspace-Key: key',
			'Workspace: forged',
			'From-Service: forged',
			'Expected-Target: forged',
			'Connection: keep-alive, X-Hop',
			'X-Hop: 1',
			'X-Text: gr\u00FC\u00DF',
		]);
		expect(request).to.deep.equal({
			requestId: 'a',
			method: 'GET',
			host: 'shop.example',
			path: '/work?x=1',
			headers: [
				'Host',
				'shop.example',
				'Request-Id',
				'a',
				'Request-Id',
				'b',
				'X-Text',
				'gr\u00FC\u00DF',
				'from-service',
				'orders',
			],
			body: undefined,
			bodyHold: undefined,
			workspaceKey: 'key',
			arrivedAt: 0,
			timeLeft: 900,
		});
	});

	describe('when a header name contains a space', () => {
		const expectRejected = async (line: string) => {
			fixture.caller.write(
				`GET / HTTP/1.1\r\nHost: shop.example\r\n${line}\r\n\r\n`,
			);
			await waitUntil(() => fixture.caller.readableEnded);
			expect(fixture.text).to.match(/^HTTP\/1\.1 400 /);
			expect(fixture.received).to.deep.equal([]);
		};

		for (const line of ['From-Service : forged', 'X Y: 1', 'Request-Id : b']) {
			// Guards against a header that only nodes set and that passes their check by a name that targets read without the space.
			it(`rejects the request (${line})`, async () => expectRejected(line));
		}
	});

	it('accepts a workspace key only once', async () => {
		// A proxy and a node could otherwise take different keys for the caller's.
		const {request} = await fixture.send('GET /', [
			'Workspace-Key: a',
			'workspace-key: b',
		]);
		expect(request.workspaceKey).to.equal(undefined);
	});

	it('forwards a key header of the application without workspaces', async () => {
		fixture.hasWorkspaces = false;
		const {request} = await fixture.send('GET /', ['Workspace-Key: a']);
		expect(request.headers).to.include.members(['Workspace-Key', 'a']);
	});

	describe('when an answer has no body by its method or status', () => {
		// Guards against a stated length of 0, which a cache takes for the size of the body that is left out.
		const cases: Array<[string, number]> = [
			['HEAD', 200],
			['HEAD', 404],
			['GET', 204],
			['GET', 304],
		];
		const expectNoLength = async (method: string, status: number) => {
			const {answer} = await fixture.send(`${method} /`);
			answer({
				kind: 'target',
				status,
				headers: ['X-Name', 'x'],
				body: new Uint8Array(),
			});
			const next = await fixture.send('GET /next');
			next.answer(succeed(Buffer.from('next')));
			await waitUntil(() => fixture.text.endsWith('\r\n\r\nnext'));
			const [first, second] = fixture.text.split('\r\n\r\n');
			expect(first).to.match(new RegExp(`^HTTP/1.1 ${status} `));
			expect(first).not.to.match(/content-length|transfer-encoding|close/i);
			expect(second).to.include('Content-Length: 4');
		};

		for (const [method, status] of cases) {
			it(`states no length (${method}, ${status})`, async () =>
				expectNoLength(method, status));
		}
	});

	// A conversion of bytes to text must keep each of the 256 values.
	const allBytes = Buffer.from(Array.from({length: 256}, (_, value) => value));
	const returnBody = async (size: number) => {
		const body = Buffer.alloc(size, allBytes);
		const {answer} = await fixture.send('GET /');
		answer(succeed(body));
		await waitUntil(
			() =>
				fixture.text !== '' &&
				fixture.text.split('\r\n\r\n', 1)[0]!.length + 4 + size <=
					fixture.text.length,
		);
		const [head] = fixture.text.split('\r\n\r\n', 1);
		expect(head).to.include(`Content-Length: ${size}\r\n`);
		expect(head).to.include('X-Name: gr\u00FC\u00DF\r\n');
		const receivedBody = fixture.text.slice(head!.length + 4);
		expect(receivedBody === body.toString('latin1')).to.equal(true);
	};

	for (const size of [0, 1, 256, 5000, 70_000, 300_000]) {
		it(`returns a body of ${size} bytes unchanged`, async () =>
			returnBody(size));
	}

	it('buffers bodies and rejects those above the limit', async () => {
		const bytes = '\u0000\u00FFbody';
		const {request, answer} = await fixture.send(
			'POST /',
			['Content-Length: 6'],
			bytes,
		);
		expect(Buffer.from(request.body!).toString('latin1')).to.equal(bytes);
		answer(succeed(Buffer.from('x')));
		const chunked = await fixture.send(
			'POST /',
			['Transfer-Encoding: chunked'],
			'3\r\none\r\n4\r\n two\r\n0\r\n\r\n',
		);
		expect(Buffer.from(chunked.request.body!).toString()).to.equal('one two');
		chunked.answer(succeed(Buffer.from('x')));
		await waitUntil(() => fixture.text.split('HTTP/1.1 200').length === 3);
		fixture.caller.write(
			`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n${'x'.repeat(100_001)}`,
		);
		await waitUntil(() => fixture.text.includes('HTTP/1.1 413'));
		expect(fixture.received).to.have.length(2);
	});

	it('rejects headers above the limit', async () => {
		fixture.caller.write(
			`GET / HTTP/1.1\r\nHost: x\r\nX-Long: ${'x'.repeat(1000)}\r\n\r\n`,
		);
		await waitUntil(() => fixture.text.includes('HTTP/1.1 431'));
		expect(fixture.received).to.have.length(0);
	});

	it('answers pipelined requests in their order', async () => {
		fixture.caller.write(
			'GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /refused HTTP/1.1\r\nHost: x\r\n\r\n',
		);
		await waitUntil(() => fixture.received.length === 3);
		fixture.received[1]!.answer(succeed(Buffer.from('second')));
		fixture.received[0]!.answer(succeed(Buffer.from('first')));
		await waitUntil(() => fixture.text.includes('noRoom'));
		expect(fixture.text).to.match(
			/^HTTP\/1.1 200 [^]*first[^]*200 [^]*second[^]*503 /,
		);
	});

	it('writes refusals with the time of the retry', async () => {
		await fixture.send('GET /refused');
		await waitUntil(() => fixture.text.includes('noRoom\n'));
		expect(fixture.text).to.match(/^HTTP\/1.1 503 [^]*Retry-After: 1\.500\r\n/);
		expect(fixture.text).to.match(/Content-Length: 7\r\n/);
	});

	it('sends no body in response to HEAD', async () => {
		const {answer} = await fixture.send('HEAD /');
		answer(succeed(Buffer.alloc(0)));
		await waitUntil(() => fixture.text.endsWith('\r\n\r\n'));
		expect(fixture.text).to.match(/^HTTP\/1.1 200 /);
	});

	it('closes connections after their answers while the node stops', async () => {
		const {answer} = await fixture.send('GET /');
		fixture.isStopping = true;
		answer(succeed(Buffer.from('x')));
		await waitUntil(() => fixture.caller.readableEnded);
		expect(fixture.text).to.match(/Connection: close\r\n/);
	});

	it('reports requests whose connection the node ends, but not those whose caller leaves', async () => {
		await fixture.send('GET /1');
		await fixture.send('GET /2');
		fixture.listener.close();
		const expected = {cause: 'stop', requests: 2};
		expect(fixture.cut).to.deep.equal([expected]);
		expect(fixture.notices).to.deep.equal([
			{
				name: 'meshRequestsCut',
				...expected,
				answered: 0,
				isStopping: false,
			},
		]);
		fixture.caller.destroy();
		await waitUntil(() => fixture.received[1]!.hasLeft);
		expect(fixture.cut).to.have.length(1);
	});

	it('reports the disconnect of a caller for its open requests only', async () => {
		const first = await fixture.send('GET /1');
		first.answer(succeed(Buffer.from('x')));
		await waitUntil(() => fixture.text !== '');
		const second = await fixture.send('GET /2');
		fixture.caller.destroy();
		await waitUntil(() => second.hasLeft);
		expect(first.hasLeft).to.equal(false);
		second.answer(succeed(Buffer.from('x')));
	});
});
