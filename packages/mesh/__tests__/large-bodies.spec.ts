import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createConnectionBudget,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	createBodyStream,
	streamWindow,
	type OpenBodyStream,
} from '../src/bodies/body-stream.js';
import {
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';
import type {
	ForwardedRequest,
	Outcome,
	OutcomeHandler,
} from '../src/links/exchange.js';
import {createPeerLink, type PeerLink} from '../src/links/peer-link.js';
import {
	createPeerListener,
	type PeerListener,
} from '../src/links/peer-listener.js';

const megabyte = 1_000_000;

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one turn after the other.
		await nextTurn();
	}
}

function createRequest(bodySize: number, fill = 'x'): ForwardedRequest {
	return {
		requestId: 'a',
		method: 'POST',
		path: '/upload',
		headers: ['Host', 'shop.example'],
		body: bodySize === 0 ? undefined : Buffer.alloc(bodySize, fill),
		route: 'upload',
		service: 'media',
		isIdempotent: false,
		isInner: false,
		isNearCompletion: true,
		repeatShare: 0,
		crashes: 0,
		priority: 0,
		maxWait: 1000,
		timeLeft: 5000,
	};
}

describe('large bodies on a link', () => {
	let clock: VirtualClock;
	let entryBudget: MemoryBudget;
	let targetBudget: MemoryBudget;
	let listener: PeerListener;
	let link: PeerLink;
	let dispatched: Array<{request: ForwardedRequest; onOutcome: OutcomeHandler}>;
	let cancelled: number;

	beforeEach(async () => {
		clock = createVirtualClock();
		entryBudget = createMemoryBudget(350 * megabyte);
		targetBudget = createMemoryBudget(350 * megabyte);
		dispatched = [];
		cancelled = 0;
		listener = createPeerListener({
			clock,
			budget: targetBudget,
			connectionBudget: createConnectionBudget({
				clock,
				limits: {bytes: 50_000_000, connections: 50},
			}),
			dispatcher: {
				send(request, onOutcome) {
					dispatched.push({request, onOutcome});
					return () => {
						cancelled++;
					};
				},
			},
			initialMessages: () => [],
			onMessage: () => undefined,
			onMalformed(detail) {
				throw new Error(detail);
			},
			onUnread: () => undefined,
			onRequest: () => undefined,
		});
		link = createPeerLink({
			address: await listener.listen('127.0.0.1:0'),
			clock,
			budget: entryBudget,
			hello: () => [],
			onMessage: () => undefined,
			onMalformed(detail) {
				throw new Error(detail);
			},
			onUnread: () => undefined,
			onLost: () => undefined,
			onChange: () => undefined,
		});
		await waitUntil(() => link.isUsable());
	});

	afterEach(() => {
		link.close();
		listener.close();
	});

	const send = (request: ForwardedRequest) => {
		const sent: {outcome?: Outcome; cancel: () => void} = {
			cancel: () => undefined,
		};
		sent.cancel = link.send(request, (outcome) => {
			sent.outcome = outcome;
		});
		return sent;
	};

	const answer = (stream?: OpenBodyStream): Outcome => ({
		kind: 'answered',
		status: 200,
		headers: [],
		body: new Uint8Array(),
		stream,
	});

	describe('of requests', () => {
		it('arrive whole', async () => {
			const request = createRequest(5 * megabyte, 'abc');
			const sent = send(request);
			await waitUntil(() => dispatched.length === 1);
			const {request: arrived, onOutcome} = dispatched[0]!;
			expect(Buffer.compare(arrived.body!, request.body!)).to.equal(0);
			expect(targetBudget.held.largeBodies).to.equal(5 * megabyte);
			onOutcome(answer(), undefined);
			await waitUntil(() => sent.outcome !== undefined);
			expect(targetBudget.held.largeBodies).to.equal(0);
		});

		// Uploads that went on to another machine took its process over its memory.
		it('wait at their entry while the node of the target has no memory', async () => {
			const hold = targetBudget.hold(90 * megabyte)!;
			send(createRequest(10 * megabyte));
			send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			expect(dispatched[0]!.request.body).to.equal(undefined);
			expect(entryBudget.held.frames).to.equal(0);
			hold.release();
			await waitUntil(() => dispatched.length === 2);
			expect(dispatched[1]!.request.body).to.have.length(10 * megabyte);
		});

		it('are refused as not run once they have waited for too long', async () => {
			targetBudget.hold(90 * megabyte);
			const sent = send(createRequest(10 * megabyte));
			send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			clock.advanceTo(1000);
			await waitUntil(() => sent.outcome !== undefined);
			expect(sent.outcome).to.deep.equal({kind: 'refused', reason: 'noRoom'});
			expect(dispatched).to.have.length(1);
		});

		it('are refused as not run if the link ends before they have arrived', async () => {
			targetBudget.hold(90 * megabyte);
			const sent = send(createRequest(10 * megabyte));
			send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			listener.close();
			await waitUntil(() => sent.outcome !== undefined);
			expect(sent.outcome).to.deep.equal({kind: 'refused', reason: 'linkDown'});
		});

		it('leave no memory taken when their caller leaves meanwhile', async () => {
			const hold = targetBudget.hold(90 * megabyte)!;
			const sent = send(createRequest(10 * megabyte));
			sent.cancel();
			send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			hold.release();
			expect(targetBudget.held.largeBodies).to.equal(0);
			expect(listener.pending()).to.equal(1);
		});

		it('that are small are refused when there is no memory for them', async () => {
			targetBudget.hold(94_450_000);
			targetBudget.add('smallBodies', 21 * megabyte);
			const sent = send(createRequest(100_000));
			await waitUntil(() => sent.outcome !== undefined);
			expect(sent.outcome).to.deep.equal({kind: 'refused', reason: 'noRoom'});
			expect(dispatched).to.have.length(0);
		});
	});

	describe('of responses', () => {
		let source: OpenBodyStream;
		let sourceEvents: string[];

		beforeEach(() => {
			sourceEvents = [];
			source = createBodyStream(undefined, targetBudget, {
				setPaused(isPaused) {
					sourceEvents.push(isPaused ? 'paused' : 'resumed');
				},
				cancel() {
					sourceEvents.push('cancelled');
				},
			});
		});

		/** Runs a request that is answered by the stream; returns the stream at the entry. */
		const startStream = async () => {
			const sent = send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			dispatched[0]!.onOutcome(answer(source), undefined);
			await waitUntil(() => sent.outcome !== undefined);
			const {stream} = sent.outcome as Outcome & {kind: 'answered'};
			return stream!;
		};

		it('arrive in parts, with their end', async () => {
			const stream = await startStream();
			let size = 0;
			let isEnded = false;
			stream.read({
				onPart({byteLength}) {
					size += byteLength;
					stream.release(byteLength);
				},
				onEnd() {
					isEnded = true;
				},
				onCut() {
					throw new Error('cut');
				},
			});
			for (let index = 0; index < 40; index++) {
				source.push(new Uint8Array(100_000));
			}

			source.end();
			await waitUntil(() => isEnded);
			expect(size).to.equal(4 * megabyte);
			expect(entryBudget.held.streams + targetBudget.held.streams).to.equal(0);
			expect(listener.pending()).to.equal(0);
		});

		it('stay at the node of the target while their caller does not read', async () => {
			const stream = await startStream();
			for (let index = 0; index < 40; index++) {
				source.push(new Uint8Array(100_000));
			}

			send(createRequest(0));
			await waitUntil(() => dispatched.length === 2);
			await waitUntil(() => entryBudget.held.streams === streamWindow);
			expect(targetBudget.held.streams).to.equal(4 * megabyte - streamWindow);
			expect(listener.pending()).to.equal(2);
			stream.cancel();
			await waitUntil(() => sourceEvents.includes('cancelled'));
			expect(targetBudget.held.streams).to.equal(0);
		});

		// Answers that were sent whole filled the buffer of a link, which was closed with all requests on it.
		it('that are held whole wait for a peer that reads slowly, and all arrive', async () => {
			const count = 100;
			const sent = Array.from({length: count}, () => send(createRequest(0)));
			await waitUntil(() => dispatched.length === count);
			const body = Buffer.alloc(400_000, 'abc');
			for (const {onOutcome} of dispatched) {
				onOutcome(
					{kind: 'answered', status: 200, headers: [], body},
					undefined,
				);
			}

			expect(targetBudget.held.answers).to.be.above(20 * megabyte);
			const refused = send(createRequest(0));
			await waitUntil(() => sent.every(({outcome}) => outcome !== undefined));
			const arrived: number[] = [];
			const read = ({body: whole, stream}: Outcome & {kind: 'answered'}) => {
				arrived.push(whole.byteLength);
				stream?.read({
					onPart({byteLength}) {
						arrived.push(byteLength);
						stream.release(byteLength);
					},
					onEnd: () => undefined,
					onCut() {
						throw new Error('cut');
					},
				});
			};

			for (const {outcome} of sent) {
				read(outcome as Outcome & {kind: 'answered'});
			}

			const sum = () => arrived.reduce((total, bytes) => total + bytes, 0);
			await waitUntil(() => sum() === count * body.byteLength);
			expect(link.isUsable()).to.equal(true);
			await waitUntil(() => targetBudget.held.answers === 0);
			expect(refused.outcome).to.deep.equal({
				kind: 'refused',
				reason: 'noRoom',
			});
		});

		it('are cut off when their source is', async () => {
			const stream = await startStream();
			let isCut = false;
			stream.read({
				onPart: () => undefined,
				onEnd() {
					throw new Error('ended');
				},
				onCut() {
					isCut = true;
				},
			});
			source.push(new Uint8Array(10));
			source.cut();
			await waitUntil(() => isCut);
		});

		it('are cut off when the link ends', async () => {
			const stream = await startStream();
			let isCut = false;
			stream.read({
				onPart: () => undefined,
				onEnd: () => undefined,
				onCut() {
					isCut = true;
				},
			});
			listener.close();
			await waitUntil(() => isCut);
			expect(sourceEvents).to.deep.equal(['cancelled']);
		});

		it('end at the target when their caller has left before', async () => {
			const sent = send(createRequest(0));
			await waitUntil(() => dispatched.length === 1);
			sent.cancel();
			await waitUntil(() => cancelled === 1);
			dispatched[0]!.onOutcome(answer(source), undefined);
			await waitUntil(() => sourceEvents.length > 0);
			expect(sourceEvents).to.deep.equal(['cancelled']);
		});
	});
});
