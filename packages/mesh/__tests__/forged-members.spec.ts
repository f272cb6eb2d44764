import {once} from 'node:events';
import {createMeshMetrics} from '@egretspoke/observability';
import {createRandom, createSystemClock, sleep} from '@egretspoke/shared';
import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {err} from 'neverthrow';
import {WebSocket} from 'ws';
import type {Member} from '../src/links/peer-message.js';
import {createMeshNode, type MeshNode} from '../src/mesh-node.js';
import {
	createRowStoreStandIn,
	type RowStoreStandIn,
} from './row-store-stand-in.js';

const clock = createSystemClock();
/** Called at each notice of a node. */
let onNotice = () => undefined as void;

type StartedNode = {
	node: MeshNode;
	peers: string;
	events: Array<{name: string; peer?: unknown}>;
};

const headerNames = {
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
};

async function startNode(
	store: RowStoreStandIn,
	index: number,
): Promise<StartedNode> {
	const events: StartedNode['events'] = [];
	const node = createMeshNode({
		settings: {
			node: `node-${index}`,
			dataCentre: 'east',
			service: 'orders',
			targetAddress: '127.0.0.1:1',
			callerAddress: '127.0.0.1:0',
			peerAddress: '127.0.0.1:0',
			retryBudget: {ratio: 0.2, allowance: 48, window: 10_000},
			quotaTolerance: {window: 5000, overage: 0.1, slack: 20},
			grace: 6000,
			memory: 350_000_000,
			descriptors: 4100,
		},
		clock,
		random: createRandom(index + 1),
		store,
		configurationRow: {table: 'any', key: 'any'},
		decodeConfiguration: () => err({version: undefined, detail: 'none'}),
		headerNames,
		reporter: {
			notice(name, details) {
				events.push({name, peer: details?.peer});
				onNotice();
			},
			decision: () => undefined,
		},
		metrics: createMeshMetrics(),
	});
	const {peers} = await node.start();
	return {node, peers, events};
}

/** Resolves once the condition holds after a notice. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one notice after the other.
		await nextNotice();
	}
}

const nextNotice = async () =>
	new Promise<void>((resolve) => {
		onNotice = resolve;
	});

describe('an entry with the name of a live node', () => {
	let store: RowStoreStandIn;
	let nodes: StartedNode[];
	let socket: WebSocket;

	const isWhole = () =>
		nodes.every(({node}) => node.readings().peersConnected === 2);

	beforeEach(async () => {
		store = createRowStoreStandIn(async (wait) => sleep(clock, wait));
		nodes = [];
		for (let index = 0; index < 3; index++) {
			// eslint-disable-next-line no-await-in-loop -- a later node reads the rows of the earlier ones.
			nodes.push(await startNode(store, index));
		}

		await waitUntil(isWhole);
	});

	afterEach(() => {
		socket.terminate();
		for (const {node} of nodes) {
			node.abort();
		}
	});

	const countLinks = (index: number) =>
		nodes[index]!.events.filter(
			({name, peer}) => name === 'peerConnected' && peer === 'node-1',
		).length;

	/** Sends a message to the first node, as any program in its network can. */
	const send = async (message: unknown) => {
		socket = new WebSocket(`ws://${nodes[0]!.peers}`);
		await once(socket, 'open');
		socket.send(new Packr({useRecords: false}).pack([0, [message]]));
	};

	const forge = (changes: Partial<Member> = {}): Member => ({
		node: 'node-1',
		address: '127.0.0.1:1',
		dataCentre: 'east',
		service: 'orders',
		startedAt: Date.now() + 60_000,
		...changes,
	});

	// The node was never linked again: no start of it was later than the forged one.
	it('displaces it for a moment only', async () => {
		const links = [countLinks(0), countLinks(2)];
		const forged = forge();
		await send({kind: 'members', members: [forged]});
		await waitUntil(
			() => countLinks(0) > links[0]! && countLinks(2) > links[1]!,
		);
		await waitUntil(isWhole);
		const row = JSON.parse(store.rows.get('node-1')!.value) as {
			member: Member;
		};
		expect(row.member).to.include({
			address: nodes[1]!.peers,
			startedAt: forged.startedAt + 1,
		});
	});

	it('displaces it for a moment only if the entry says hello', async () => {
		const links = countLinks(0);
		await send({kind: 'hello', member: forge(), configurationVersion: 0});
		await waitUntil(() => countLinks(0) > links);
		await waitUntil(isWhole);
	});

	it('is skipped with a line if it cannot be used', async () => {
		const links = countLinks(0);
		await send({
			kind: 'members',
			members: [
				forge({startedAt: Date.now() + 7_200_000}),
				forge({startedAt: 1e300}),
				forge({address: '127.0.0.1:99999'}),
			],
		});
		const {events} = nodes[0]!;
		await waitUntil(
			() => events.filter(({name}) => name === 'malformedMessage').length === 3,
		);
		expect(countLinks(0)).to.equal(links);
		expect(isWhole()).to.equal(true);
	});
});
