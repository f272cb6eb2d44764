import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createMeshMetrics} from '@egretspoke/observability';
import {
	createRandom,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {WebSocket} from 'ws';
import {
	decodeFrame,
	encodeFrame,
	type PeerMessage,
} from '../src/links/peer-message.js';
import {createMeshNode, type MeshNode} from '../src/mesh-node.js';
import {
	createAnswer,
	startRawTarget,
	type RawRequest,
	type RawTarget,
} from './raw-target.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';

/** Lets the event loop turn until the condition holds; the test's own timeout is the only limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one turn after the other.
		await nextTurn();
	}
}

/** Of a feed without changes. */
const endless = Promise.race<void>([]);

describe('the links of a node that stops', () => {
	let clock: VirtualClock;
	let node: MeshNode;
	let target: RawTarget;
	let peer: WebSocket;
	let received: PeerMessage[];
	let isClosed: boolean;

	const announce = async (startedAt: number) =>
		node.announce({
			targetId: 'target-1',
			startedAt,
			sequence: 1,
			service: 'orders',
			address: target.address,
			slots: 10,
			isLeaving: false,
			warmUpLeft: 0,
		});

	const sendRequest = (exchange: number) => {
		peer.send(
			encodeFrame({
				sentAt: clock.now(),
				messages: [
					{
						kind: 'request',
						exchange,
						request: {
							requestId: `id-${exchange}`,
							method: 'POST',
							path: '/x',
							headers: ['Request-Id', `id-${exchange}`],
							body: undefined,
							route: 'pay',
							service: 'orders',
							isIdempotent: false,
							isInner: false,
							isNearCompletion: false,
							repeatShare: 0,
							crashes: 0,
							priority: 0,
							maxWait: 0,
							timeLeft: 5500,
						},
					},
				],
			}),
		);
	};

	const outcomes = () =>
		received.flatMap((message) =>
			message.kind === 'outcome'
				? [`${message.exchange} ${message.outcome.kind}`]
				: [],
		);

	beforeEach(async () => {
		clock = createVirtualClock();
		target = await startRawTarget();
		received = [];
		isClosed = false;
		node = createMeshNode({
			settings: {
				node: 'node-1',
				dataCentre: 'east',
				service: 'orders',
				targetAddress: target.address,
				callerAddress: '127.0.0.1:0',
				peerAddress: '127.0.0.1:0',
				retryBudget: {ratio: 0.2, allowance: 48, window: 10_000},
				quotaTolerance: {window: 5000, overage: 0.1, slack: 20},
				grace: 6000,
				memory: 350_000_000,
				descriptors: 4100,
			},
			clock,
			random: createRandom(1),
			store: createRowStoreStandIn(async () => endless),
			configurationRow: {table: 'any', key: 'any'},
			decodeConfiguration: () => err({version: undefined, detail: 'none'}),
			headerNames: {
				requestId: 'request-id',
				timeLeft: 'time-left',
				expectedTarget: 'expected-target',
				callerService: 'from-service',
				workspaceKey: 'workspace-key',
				workspace: 'workspace',
				signature: 'signed',
				notExecuted: 'not-run',
				rateLimit: 'rate',
				leaving: 'is-leaving',
			},
			reporter: {notice: () => undefined, decision: () => undefined},
			metrics: createMeshMetrics(),
		});
		const {peers} = await node.start();
		await announce(1);
		peer = new WebSocket(`ws://${peers}`);
		peer.on('message', (data: Uint8Array) => {
			received.push(...decodeFrame(data)._unsafeUnwrap().messages);
		});
		peer.on('close', () => {
			isClosed = true;
		});
		await once(peer, 'open');
	});

	afterEach(async () => {
		peer.terminate();
		node.abort();
		await target.close();
	});

	it('stay open until the peer has read a large answer', async () => {
		// An answer that was still in the socket at the end of the stop was lost, and its caller got 502 `linkLost`.
		target.setBehaviour(({socket, id}) => {
			socket.write(createAnswer(id, 'x'.repeat(24 * 1024 * 1024)));
		});
		sendRequest(1);
		await waitUntil(() => node.readings().inFlight === 1);
		const stopped = node.stop();
		peer.pause();
		await waitUntil(() => node.readings().inFlight === 0);
		for (let time = 50; time <= 4000; time += 50) {
			clock.advanceTo(time);
			// eslint-disable-next-line no-await-in-loop -- one check after the other.
			await nextTurn();
		}

		peer.resume();
		await waitUntil(() => isClosed || outcomes().length > 0);
		expect(outcomes()).to.deep.equal(['1 answered']);
		for (let time = 4050; time <= 6000; time += 50) {
			clock.advanceTo(time);
			// eslint-disable-next-line no-await-in-loop -- as above.
			await nextTurn();
		}

		await stopped;
	});

	it('stay open for a request of an earlier incarnation of the target', async () => {
		// Runs at a target that has announced a new start were not counted, so the node ended while they ran.
		const held: RawRequest[] = [];
		target.setBehaviour((request) => held.push(request));
		sendRequest(1);
		await waitUntil(() => held.length === 1);
		await announce(2);
		const stopped = node.stop();
		for (let time = 50; time <= 4000; time += 50) {
			clock.advanceTo(time);
			// eslint-disable-next-line no-await-in-loop -- one check after the other.
			await nextTurn();
		}

		held[0]!.socket.write(createAnswer('id-1'));
		await waitUntil(() => isClosed || outcomes().length > 0);
		expect(outcomes()).to.deep.equal(['1 answered']);
		clock.advanceTo(5500);
		await stopped;
	});
});
