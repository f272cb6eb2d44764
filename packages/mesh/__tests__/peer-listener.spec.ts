import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createConnectionBudget,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocket} from 'ws';
import {
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';
import type {
	ForwardedRequest,
	Outcome,
	OutcomeHandler,
} from '../src/links/exchange.js';
import {
	createPeerListener,
	type PeerListener,
} from '../src/links/peer-listener.js';
import {
	decodeFrame,
	encodeFrame,
	type PeerMessage,
} from '../src/links/peer-message.js';

/** More than the buffers of the system hold. */
const largeSize = 24 * 1024 * 1024;
/** More than the peer's side of a connection holds at first, less than both sides together. */
const moderateSize = 1024 * 1024;

const request: ForwardedRequest = {
	requestId: 'id',
	method: 'GET',
	path: '/x',
	headers: [],
	body: undefined,
	route: 'read',
	service: 'orders',
	isIdempotent: true,
	isInner: false,
	isNearCompletion: false,
	repeatShare: 0,
	crashes: 0,
	priority: 0,
	maxWait: 0,
	timeLeft: 5000,
};

function answerOf(size: number): Outcome {
	return {
		kind: 'answered',
		status: 200,
		headers: [],
		body: Buffer.alloc(size, 7),
	};
}

/** Lets the event loop turn until the condition holds; the test's own timeout is the only limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one turn after the other.
		await nextTurn();
	}
}

/** Enough for the answers below, which are larger than those that targets' nodes send whole. */
const memory = 4_000_000_000;

describe('the listener for links of other nodes', () => {
	let clock: VirtualClock;
	let listener: PeerListener;
	let budget: MemoryBudget;
	let peer: WebSocket;
	/** The outcome handlers of the requests that were dispatched. */
	let dispatched: OutcomeHandler[];
	let received: PeerMessage[];
	let isClosed: boolean;
	let unread: number[];

	const send = (...messages: PeerMessage[]) => {
		peer.send(encodeFrame({sentAt: 0, messages}));
	};

	/** Sends requests; resolves when they are dispatched. */
	const dispatch = async (...exchanges: number[]) => {
		const before = dispatched.length;
		send(
			...exchanges.map((exchange) => ({
				kind: 'request' as const,
				exchange,
				request,
			})),
		);
		await waitUntil(() => dispatched.length === before + exchanges.length);
	};

	const outcomes = () =>
		received.flatMap((message) =>
			message.kind === 'outcome' ? [message.exchange] : [],
		);

	/** Lets the event loop turn a few times, so that the system takes what it can. */
	const settle = async () => {
		for (let turn = 0; turn < 10; turn++) {
			// eslint-disable-next-line no-await-in-loop -- one turn after the other.
			await nextTurn();
		}
	};

	beforeEach(async () => {
		clock = createVirtualClock();
		dispatched = [];
		received = [];
		isClosed = false;
		unread = [];
		budget = createMemoryBudget(memory);
		listener = createPeerListener({
			budget,
			clock,
			connectionBudget: createConnectionBudget({
				clock: createVirtualClock(),
				limits: {bytes: 50_000_000, connections: 50},
			}),
			dispatcher: {
				send(_request, onOutcome) {
					dispatched.push(onOutcome);
					return () => undefined;
				},
			},
			initialMessages: () => [],
			onMessage: () => undefined,
			onMalformed(detail) {
				throw new Error(detail);
			},
			onUnread(bytes) {
				unread.push(bytes);
			},
			onRequest: () => undefined,
		});
		peer = new WebSocket(`ws://${await listener.listen('127.0.0.1:0')}`);
		peer.on('message', (data: Uint8Array) => {
			received.push(...decodeFrame(data)._unsafeUnwrap().messages);
		});
		peer.on('close', () => {
			isClosed = true;
		});
		await once(peer, 'open');
	});

	afterEach(() => {
		peer.terminate();
		listener.close();
	});

	describe('at a planned stop', () => {
		// A node that ended with outcomes in its buffers cost their callers a 502, although the targets had answered.
		it('counts an outcome as pending until it was sent', async () => {
			await dispatch(1);
			peer.pause();
			dispatched[0]!(answerOf(largeSize), undefined);
			expect(listener.pending()).to.equal(1);
			await nextTurn();
			expect(listener.pending()).to.equal(1);
			peer.resume();
			await waitUntil(() => listener.pending() === 0);
			await waitUntil(() => received.length === 1);
		});

		it('does not wait for a peer that has no outcome to receive', async () => {
			peer.pause();
			listener.broadcast({
				kind: 'targetMemory',
				targetId: 'x'.repeat(largeSize),
				startedAt: 1,
				isLeaving: false,
			});
			await nextTurn();
			expect(listener.pending()).to.equal(0);
		});

		// A link that was cut while its peer still read lost the outcomes on their way.
		it('ends a link once its peer has read every outcome', async () => {
			await dispatch(1, 2);
			peer.pause();
			dispatched[0]!(answerOf(largeSize), undefined);
			dispatched[1]!(answerOf(1), undefined);
			let hasEnded = false;
			const ended = (async () => {
				await listener.end(1000, 3000);
				hasEnded = true;
			})();
			await nextTurn();
			send({kind: 'ping'});
			await nextTurn();
			expect(hasEnded).to.equal(false);
			peer.resume();
			await ended;
			listener.close();
			await waitUntil(() => isClosed);
			expect(outcomes()).to.deep.equal([1, 2]);
		});

		// A request on its way at the end of the stop counted as lost, although it had not been received: 502 instead of another target.
		it('states which requests it has not received, and runs none that arrive later', async () => {
			await dispatch(1, 2);
			dispatched[1]!(answerOf(1), undefined);
			const ended = listener.end(1000, 3000);
			send({kind: 'request', exchange: 3, request});
			await ended;
			await waitUntil(() => isClosed);
			expect(received.at(-1)).to.deep.equal({kind: 'closing', running: [1]});
			expect(dispatched).to.have.length(2);
		});

		// The system still had it when the node ended; the next message of the peer then made the system discard it.
		it('gives a peer more time to read a large answer', async () => {
			await dispatch(1);
			peer.pause();
			dispatched[0]!(answerOf(moderateSize), undefined);
			await settle();
			expect(listener.pending()).to.equal(0);
			const ended = (async () => {
				await listener.end(1000, 3000);
				listener.close();
			})();
			await settle();
			clock.advanceTo(2999);
			await settle();
			send({kind: 'ping'});
			await settle();
			peer.resume();
			await ended;
			await waitUntil(() => isClosed);
			expect(outcomes()).to.deep.equal([1]);
		});

		it('ends after the timeout without a peer that has small outcomes to read', async () => {
			await dispatch(1);
			peer.pause();
			dispatched[0]!(answerOf(1000), undefined);
			const ended = listener.end(1000, 3000);
			await nextTurn();
			clock.advanceTo(1000);
			expect(await ended).to.deep.equal({links: 1, running: 0, unsent: 0});
			expect(clock.pending()).to.equal(0);
		});

		it('ends without a peer that does not read', async () => {
			await dispatch(1);
			peer.pause();
			dispatched[0]!(answerOf(largeSize), undefined);
			const ended = listener.end(1000, 3000);
			await nextTurn();
			clock.advanceTo(3000);
			expect(await ended).to.deep.equal({links: 1, running: 0, unsent: 1});
		});
	});

	describe('while a peer reads slowly', () => {
		// Above 16 MB in the buffer every further outcome was dropped: the entry node waited until the deadline of each request, and its callers got 504.
		it('sends the outcomes behind a large one', async () => {
			await dispatch(1, 2, 3);
			peer.pause();
			dispatched[0]!(answerOf(2 * largeSize), undefined);
			await settle();
			dispatched[1]!(answerOf(1), undefined);
			dispatched[2]!({kind: 'refused', reason: 'noRoom'}, undefined);
			send({kind: 'ping'});
			await settle();
			peer.resume();
			await waitUntil(() => received.length === 4);
			expect(outcomes()).to.deep.equal([1, 2, 3]);
			expect(received.at(-1)).to.deep.equal({kind: 'pong'});
		});

		/** Answers so many requests while the peer does not read; each answer is small enough to be sent at once. */
		const fillBuffer = async (count: number) => {
			await dispatch(...Array.from({length: count}, (_, index) => index + 1));
			peer.pause();
			for (const onOutcome of dispatched) {
				onOutcome(answerOf(15_000), undefined);
			}

			await settle();
		};

		// Each request that is run adds an answer to the buffer.
		it('refuses requests while much is buffered', async () => {
			await fillBuffer(1000);
			listener.broadcast({kind: 'version', version: 1});
			send({kind: 'request', exchange: 1001, request});
			await settle();
			expect(dispatched).to.have.length(1000);
			peer.resume();
			await waitUntil(() => outcomes().length === 1001);
			expect(received.at(-1)).to.deep.equal({
				kind: 'outcome',
				exchange: 1001,
				outcome: {kind: 'refused', reason: 'linkDown'},
				load: undefined,
			});
			await dispatch(1002);
		});

		// A peer that never reads must not fill the memory, and its requests end at once instead of at their deadlines.
		it('closes the link when the memory for messages is used up', async () => {
			await fillBuffer(1000);
			budget.add('frames', memory);
			listener.broadcast({kind: 'version', version: 1});
			await settle();
			expect(unread).to.have.length(1);
			expect(listener.links.size).to.equal(0);
		});
	});
});
