import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
	createBodyStream,
	streamWindow,
	type OpenBodyStream,
} from '../src/bodies/body-stream.js';
import {
	startCallerListener,
	succeed,
	waitUntil,
	type CallerListenerFixture,
} from './caller-listener-fixture.js';

const megabyte = 1_000_000;

describe('the listener for callers with large bodies', () => {
	let fixture: CallerListenerFixture;

	beforeEach(async () => {
		fixture = await startCallerListener();
		fixture.listener.applyLimits({
			headerBytes: 1000,
			bodyBytes: 10 * megabyte,
			headerTime: 3000,
			idleTime: 15_000,
		});
	});

	afterEach(() => {
		fixture.close();
	});

	const upload = (bytes: number) => {
		fixture.caller.write(
			`POST /upload HTTP/1.1\r\nHost: x\r\nTime-Left: 4000\r\nContent-Length: ${bytes}\r\n\r\n`,
		);
		fixture.caller.write(Buffer.alloc(bytes, 'abc'));
	};

	/** Takes the memory for large bodies. */
	const fillMemory = () => fixture.budget.hold(90 * megabyte)!;

	describe('in a request', () => {
		it('holds memory from its first byte until the answer', async () => {
			upload(5 * megabyte);
			await waitUntil(() => fixture.received.length === 1);
			const {request, answer} = fixture.received[0]!;
			const sent = Buffer.alloc(5 * megabyte, 'abc');
			expect(Buffer.compare(request.body!, sent)).to.equal(0);
			expect(fixture.budget.held.largeBodies).to.equal(5 * megabyte);
			answer(succeed(Buffer.from('x')));
			expect(fixture.budget.held.largeBodies).to.equal(0);
		});

		it('of unknown size takes what the largest may need, and gives the rest back', async () => {
			fixture.caller.write(
				'POST /upload HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
			);
			const chunk = Buffer.alloc(megabyte, 'abc');
			for (let index = 0; index < 3; index++) {
				fixture.caller.write(`${chunk.byteLength.toString(16)}\r\n`);
				fixture.caller.write(chunk);
				fixture.caller.write('\r\n');
			}

			await waitUntil(() => fixture.budget.held.largeBodies > 0);
			expect(fixture.budget.held.largeBodies).to.equal(10 * megabyte);
			fixture.caller.write('0\r\n\r\n');
			await waitUntil(() => fixture.received.length === 1);
			const sent = Buffer.concat([chunk, chunk, chunk]);
			const {request} = fixture.received[0]!;
			expect(Buffer.compare(request.body!, sent)).to.equal(0);
			expect(fixture.budget.held.largeBodies).to.equal(3 * megabyte);
		});

		// Three uploads at a time took the process over its memory, and all requests of its callers ended with it.
		it('is not read while there is no memory for it, and small requests go on', async () => {
			const hold = fillMemory();
			upload(5 * megabyte);
			const port = fixture.caller.remotePort!;
			const other = connect(port, '127.0.0.1');
			other.write('GET /small HTTP/1.1\r\nHost: x\r\n\r\n');
			other.write(
				'POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc',
			);
			await waitUntil(() => fixture.received.length === 2);
			expect(fixture.caller.writableLength).to.be.above(0);
			hold.release();
			await waitUntil(() => fixture.received.length === 3);
			expect(fixture.received[2]!.request.body).to.have.length(5 * megabyte);
			other.destroy();
		});

		it('is refused as not run once it has waited for half of the time left', async () => {
			fillMemory();
			upload(5 * megabyte);
			await nextTurn();
			await waitUntil(() => fixture.clock.pending() > 0);
			fixture.clock.advanceTo(2000);
			await waitUntil(() => fixture.text.includes('noMemory'));
			expect(fixture.text).to.match(
				/^HTTP\/1.1 503 [^]*Retry-After: 1\.000\r\n/,
			);
			expect(fixture.received).to.have.length(0);
			// The rest of the body is discarded, and the connection stays usable.
			await fixture.send('GET /next');
		});

		/** Begins an upload and lets the time pass. */
		const stall = async (line: string, time: number) => {
			fixture.caller.write(
				`POST /upload HTTP/1.1\r\nHost: x\r\n${line}Content-Length: ${5 * megabyte}\r\n\r\nabc`,
			);
			await waitUntil(() => fixture.budget.held.largeBodies > 0);
			await waitUntil(() => fixture.listener.receiving() === 1);
			await nextTurn();
			fixture.clock.advanceTo(time);
			fixture.clock.advanceTo(2 * time);
			await waitUntil(() => fixture.text.includes('stalled'));
			expect(fixture.text).to.match(/^HTTP\/1.1 503 [^]*Connection: close/);
			expect(fixture.budget.held.largeBodies).to.equal(0);
			expect(fixture.received).to.have.length(0);
		};

		// A caller that stops half-way would keep others from memory for as long as it stays connected.
		it('is refused when it stops arriving', async () => {
			await stall('', 15_000);
		});

		it('is refused when it takes longer than its caller waits', async () => {
			await stall('Time-Left: 4000\r\n', 4000);
		});

		it('gives its memory back when its caller leaves', async () => {
			upload(5 * megabyte);
			await waitUntil(() => fixture.received.length === 1);
			fixture.caller.destroy();
			await waitUntil(() => fixture.budget.held.largeBodies === 0);
			expect(fixture.received[0]!.hasLeft).to.equal(true);
		});

		it('gives its memory back when it does not arrive whole', async () => {
			fixture.caller.write(
				`POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: ${5 * megabyte}\r\n\r\nabc`,
			);
			await waitUntil(() => fixture.budget.held.largeBodies > 0);
			fixture.caller.destroy();
			await waitUntil(() => fixture.budget.held.largeBodies === 0);
		});
	});

	describe('in a response', () => {
		let stream: OpenBodyStream;
		let sourceEvents: string[];

		/** Answers a request by a stream. */
		const startStream = async (size?: number) => {
			sourceEvents = [];
			stream = createBodyStream(size, fixture.budget, {
				setPaused(isPaused) {
					sourceEvents.push(isPaused ? 'paused' : 'resumed');
				},
				cancel() {
					sourceEvents.push('cancelled');
				},
			});
			const {answer} = await fixture.send('GET /large');
			answer({
				kind: 'target',
				status: 200,
				headers: [],
				body: new Uint8Array(),
				stream,
			});
		};

		it('is passed on while it arrives, with its length', async () => {
			await startStream(6);
			stream.push(Buffer.from('one'));
			await waitUntil(() => fixture.text.endsWith('one'));
			stream.push(Buffer.from('two'));
			stream.end();
			await waitUntil(() => fixture.text.endsWith('two'));
			expect(fixture.text).to.match(/Content-Length: 6\r\n/);
			expect(fixture.budget.held.streams).to.equal(0);
			await waitUntil(() => fixture.listener.pending() === 0);
		});

		it('without a length is sent in chunks', async () => {
			await startStream();
			stream.push(Buffer.from('one'));
			stream.end();
			await waitUntil(() => fixture.text.endsWith('0\r\n\r\n'));
			expect(fixture.text).to.match(
				/Transfer-Encoding: chunked\r\n[^]*3\r\none/,
			);
		});

		// A body that was cut off must not look complete.
		it('that is cut off ends its connection', async () => {
			await startStream();
			stream.push(Buffer.from('one'));
			stream.cut();
			await waitUntil(() => fixture.caller.destroyed);
			expect(fixture.text).not.to.include('0\r\n\r\n');
		});

		it('that is cut off waits for the answers to earlier requests', async () => {
			const first = await fixture.send('GET /first');
			await startStream();
			stream.cut();
			await nextTurn();
			first.answer(succeed(Buffer.from('first')));
			await waitUntil(() => fixture.caller.destroyed);
			expect(fixture.text).to.include('first');
		});

		it('pauses its source while its caller does not read', async () => {
			await startStream();
			fixture.caller.pause();
			const part = Buffer.alloc(streamWindow);
			for (let index = 0; index < 200; index++) {
				stream.push(part);
			}

			await waitUntil(() => sourceEvents.includes('paused'));
			expect(fixture.budget.isFull('streams')).to.equal(true);
			fixture.caller.resume();
			await waitUntil(() => sourceEvents.at(-1) === 'resumed');
		});

		it('is cut off when its caller has read nothing for the idle time', async () => {
			await startStream();
			fixture.caller.pause();
			stream.push(Buffer.alloc(50 * megabyte));
			await nextTurn();
			fixture.clock.advanceTo(15_000);
			fixture.clock.advanceTo(30_000);
			await waitUntil(() => sourceEvents.includes('cancelled'));
			expect(fixture.budget.held.streams).to.equal(0);
		});

		it('ends its source when its caller leaves', async () => {
			await startStream();
			fixture.caller.destroy();
			await waitUntil(() => sourceEvents.includes('cancelled'));
		});

		// Callers that leave many answers unread must not fill the memory.
		it('that is held whole counts until it is sent, and new requests are refused meanwhile', async () => {
			const {answer} = await fixture.send('GET /');
			fixture.caller.pause();
			answer(succeed(Buffer.alloc(22 * megabyte)));
			const other = connect(fixture.caller.remotePort!, '127.0.0.1');
			let text = '';
			other.on('data', (bytes) => {
				text += bytes.toString('latin1');
			});
			other.write('GET /other HTTP/1.1\r\nHost: x\r\n\r\n');
			await waitUntil(() => text.includes('noMemory'));
			fixture.caller.resume();
			await waitUntil(() => fixture.budget.held.responses === 0);
			other.write('GET /other HTTP/1.1\r\nHost: x\r\n\r\n');
			await waitUntil(() => fixture.received.length === 2);
			other.destroy();
		});
	});
});
