import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createVirtualClock, type VirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocket} from 'ws';
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

describe('the listener for links of other nodes', () => {
	let clock: VirtualClock;
	let listener: PeerListener;
	let peer: WebSocket;
	/** The outcome handlers of the requests that were dispatched. */
	let dispatched: OutcomeHandler[];
	let received: PeerMessage[];
	let isClosed: boolean;

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

	beforeEach(async () => {
		clock = createVirtualClock();
		dispatched = [];
		received = [];
		isClosed = false;
		listener = createPeerListener({
			clock,
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
				await listener.end(1000);
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

		it('ends without a peer that does not read', async () => {
			await dispatch(1);
			peer.pause();
			dispatched[0]!(answerOf(largeSize), undefined);
			const ended = listener.end(1000);
			await nextTurn();
			clock.advanceTo(1000);
			await ended;
		});
	});
});
