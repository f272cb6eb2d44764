import {expect} from 'chai';
import {egretspokePolicy} from '@egretspoke/decisions';
import type {Answer, CallRequest, Member} from '@egretspoke/protocol';
import {
	createRandom,
	createSupervisor,
	createVirtualClock,
} from '@egretspoke/shared';
import {createNodeCore, type NodeCore} from '../src/node-core.js';
import {silentReporter} from '../src/node-reporter.js';
import {createLocalNetwork} from './local-network.js';

const triesPerTarget = 3;
const chainAttempts = 3;
const empty = new Uint8Array(0);
const failed: Answer = {status: 503, headers: {}, body: empty};
const {signal} = new AbortController();

/** Calls the next layer from the target of one layer. */
type CallDownstream = (request: CallRequest, layer: number) => Promise<Answer>;

/** The target of each layer tries three times, regardless of the headers it receives. */
async function retryNaively(call: () => Promise<Answer>): Promise<Answer> {
	for (let tries = 1; ; tries++) {
		// eslint-disable-next-line no-await-in-loop -- one try after another.
		const answer = await call();
		if (answer.status === 200 || tries === triesPerTarget) {
			return answer;
		}
	}
}

/** Counts the calls that reach the failing service below `depth` layers for one request, without nodes. */
async function countWithoutNodes(depth: number): Promise<number> {
	let reached = 0;
	const runLayer = async (layer: number): Promise<Answer> => {
		if (layer === depth) {
			reached++;
			return failed;
		}

		return retryNaively(async () => runLayer(layer + 1));
	};

	await runLayer(1);
	return reached;
}

/** Counts the same calls with a node at every target. */
async function countWithNodes(depth: number): Promise<number> {
	const clock = createVirtualClock();
	const attach = createLocalNetwork();
	const members: Member[] = [];
	const cores: NodeCore[] = [];
	const tally = {reached: 0, isOver: false};

	const callDownstream: CallDownstream = async (request, layer) => {
		const {outcome} = await cores[layer - 1]!.entry.handle(
			{
				id: request.id,
				service: `layer-${layer + 1}`,
				method: 'GET',
				path: '/',
				headers: {},
				body: empty,
				caller: `layer-${layer}`,
			},
			signal,
		);
		return outcome.kind === 'answered' ? outcome.answer : failed;
	};

	for (let layer = 1; layer <= depth; layer++) {
		const node = `vm-${layer}`;
		const announcement = {
			service: `layer-${layer}`,
			slots: 100,
			connections: 100,
		};
		members.push({
			node,
			incarnation: 1,
			heartbeat: 1,
			region: 'gh-coast',
			dataCentre: 'gh-coast-1',
			peerAddress: node,
			callerAddress: node,
			state: 'active',
			target: announcement,
			configurationVersion: 0,
		});
		const core = createNodeCore({
			clock,
			random: createRandom(layer),
			self: {node, incarnation: 1},
			dataCentre: 'gh-coast-1',
			policy: egretspokePolicy,
			transport: attach({node, incarnation: 1, dataCentre: 'gh-coast-1'}),
			supervisor: createSupervisor(clock, () => undefined),
			reporter: silentReporter,
			persistSuspects: () => undefined,
			ledger: {capacity: 10, bytesCapacity: 1000, maximumLifetime: 60_000},
			control: {
				classify: () => ({
					requestClass: 'normal',
					idempotent: true,
					deadline: 60_000,
					attempts: chainAttempts,
				}),
				members: () => members,
				isSuspended: () => false,
				receiveProbe() {
					throw new Error('unexpected probe');
				},
				configurationBody: () => undefined,
			},
		});
		core.announce({
			announcement,
			client: {
				isListening: async () => true,
				async send(request) {
					if (layer === depth) {
						tally.reached++;
						return {kind: 'answer', answer: failed};
					}

					const answer = await retryNaively(async () =>
						callDownstream(request, layer),
					);
					return {kind: 'answer', answer};
				},
			},
		});
		cores.push(core);
	}

	for (const core of cores) {
		core.membersChanged();
	}

	const answering = cores[0]!.entry.handle(
		{
			service: 'layer-1',
			method: 'GET',
			path: '/',
			headers: {},
			body: empty,
			caller: 'client',
		},
		signal,
	);
	void (async () => {
		await answering;
		tally.isOver = true;
	})();

	while (!tally.isOver) {
		// eslint-disable-next-line no-await-in-loop -- a millisecond after another.
		await clock.runTo(clock.now() + 1);
	}

	return tally.reached;
}

describe('attempts of a whole chain', () => {
	// Every target of a deep chain tries three times when the next service fails.
	// Each layer multiplies the calls of the one above it, and the slow service
	// stays overloaded long after the surge has passed.
	for (const depth of [2, 4, 6]) {
		describe(`${depth} services deep`, () => {
			it('are bounded by the chain, regardless of the retries of its targets', async () => {
				const reached = await countWithNodes(depth);
				expect(reached).to.be.within(1, chainAttempts);
			});

			it('are multiplied by each layer without nodes', async () => {
				const reached = await countWithoutNodes(depth);
				expect(reached).to.equal(triesPerTarget ** (depth - 1));
			});
		});
	}
});
