/**
 * Measures heap and resident memory for each item of state: a ledger key, a
 * routing candidate, a remembered decision, an idle connection between two
 * nodes. The capacity page multiplies them by the numbers expected in two years.
 */
import process from 'node:process';
import {createEgretspokePolicy} from '@egretspoke/decisions';
import {createLedger} from '@egretspoke/ledger';
import {createWebSocketTransport, type MessageChannel} from '@egretspoke/node';
import {createDecisionHistory} from '@egretspoke/observability';
import {
	createConnectionBudget,
	createRandom,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';

/** Bytes an item, averaged over `count` items. */
export type MemorySlope = {
	piece: string;
	count: number;
	heapBytes: number;
	residentBytes: number;
};

type Measured = {
	count: number;
	/** Keeps the items reachable until all measurements are done. */
	retained: unknown;
	close?: () => Promise<void>;
};

const ledgerKeys = 20_000;
const services = 26;
const targetsPerService = 22;
const decisions = 20_000;
const connections = 200;
const answerSize = 256;

/** The measured items, in order. */
const pieces: Record<string, () => Promise<Measured> | Measured> = {
	'ledger key with an answer of 256 bytes': fillLedger,
	'routing candidate': fillRouting,
	'remembered decision': fillDecisionMemory,
	'both ends of an idle peer connection': openConnections,
};

/** Measures each kind of item; requires `--expose-gc`. */
export async function measureMemory(): Promise<MemorySlope[]> {
	const slopes: MemorySlope[] = [];
	const measuredPieces: Measured[] = [];
	for (const [piece, fill] of Object.entries(pieces)) {
		const before = readMemory();
		// eslint-disable-next-line no-await-in-loop -- sequential measurements.
		const measured = await fill();
		measuredPieces.push(measured);
		const {count} = measured;
		const after = readMemory();
		slopes.push({
			piece,
			count,
			heapBytes: Math.round((after.heapUsed - before.heapUsed) / count),
			residentBytes: Math.round((after.rss - before.rss) / count),
		});
	}

	await Promise.all(measuredPieces.map(async ({close}) => close?.()));
	return slopes;
}

function fillLedger(): Measured {
	const ledger = createLedger({
		clock: createSystemClock(),
		capacity: ledgerKeys,
		bytesCapacity: ledgerKeys * answerSize * 2,
		maximumLifetime: 120_000,
		defaultLifetime: 120_000,
	});
	for (let index = 0; index < ledgerKeys; index++) {
		const decision = ledger.begin({
			service: 'orders-and-payments',
			key: `0b0e7a3c-52ac-4d55-9f0a-${String(index).padStart(12, '0')}`,
			fingerprint: String(index).padStart(64, 'a'),
		});
		if (decision.kind === 'run') {
			decision.run.answered({
				status: 200,
				headers: {'content-type': 'application/json'},
				body: new Uint8Array(answerSize),
			});
		}
	}

	return {count: ledgerKeys, retained: ledger};
}

function fillRouting(): Measured {
	const routing = createEgretspokePolicy().createRouting({
		dataCentre: 'gh-coast-1',
		random: createRandom(1),
	});
	let call = 0;
	for (let service = 0; service < services; service++) {
		routing.candidatesChanged(
			`service-${service}`,
			Array.from({length: targetsPerService}, (_, index) => ({
				node: `vm-${service}-${index}`,
				dataCentre: `gh-coast-${index % 3}`,
				slots: 100,
				connections: 700,
				since: -60_000,
				state: 'active' as const,
			})),
			0,
		);
		for (let calls = 0; calls < 20 * targetsPerService; calls++) {
			const facts = {
				id: `call-${call++}`,
				service: `service-${service}`,
				requestClass: 'normal' as const,
				caller: `caller-${call % 40}`,
				operation: `GET /kind-${call % 10}`,
				deadline: call + 1000,
				attempts: 3,
				idempotent: true,
			};
			const decision = routing.choose(facts, [], call);
			if (decision.kind === 'send') {
				const {node} = decision;
				routing.started(facts, node, call);
				routing.finished(facts, {node, duration: 5, result: 'ok'}, call + 5);
			}
		}
	}

	return {count: services * targetsPerService, retained: routing};
}

function fillDecisionMemory(): Measured {
	const memory = createDecisionHistory({ordinary: decisions});
	for (let index = 0; index < decisions; index++) {
		memory.record({
			request: `0b0e7a3c-52ac-4d55-9f0a-${String(index).padStart(12, '0')}`,
			name: 'routed',
			at: index,
			reason: `vm-${index % 570} at 1/${index / 100} before vm-3 at 1/20.5`,
			details: {node: `vm-${index % 570}`},
		});
	}

	return {count: decisions, retained: memory};
}

async function openConnections(): Promise<Measured> {
	const clock = createSystemClock({keepAlive: true});
	const create = (node: string) =>
		createWebSocketTransport({
			clock,
			connectionBudget: createConnectionBudget({
				clock,
				limits: noConnectionLimits,
			}),
			self: () => ({node, incarnation: 1, dataCentre: 'gh-coast-1'}),
			secret: 'a secret of the benchmark',
			messageLimit: 1_000_000,
			handshakeLimit: connections,
			onMalformed: () => undefined,
			onRefused: () => undefined,
		});
	const acceptor = create('acceptor');
	const channels: Array<MessageChannel | undefined> = [];
	acceptor.accept((channel) => channels.push(channel));
	const port = await acceptor.listen('127.0.0.1', 0);
	const opener = create('opener');
	const {signal} = new AbortController();
	for (let index = 0; index < connections; index++) {
		// eslint-disable-next-line no-await-in-loop -- sequential connections.
		channels.push(await opener.connect(`127.0.0.1:${port}`, signal));
	}

	return {
		count: connections,
		retained: [channels, opener, acceptor],
		async close() {
			await opener.close();
			await acceptor.close();
		},
	};
}

function readMemory(): NodeJS.MemoryUsage {
	// The second collection frees objects that the first one finalized.
	globalThis.gc?.();
	globalThis.gc?.();
	return process.memoryUsage();
}
