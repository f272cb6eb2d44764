/**
 * Measures the cost of control for each node as the number of nodes grows: in
 * steady state, at a configuration change, during a rolling restart, and when an
 * isolated data centre reconnects. Runs in real time; the network and the
 * platform are in memory, so the figures exclude their latencies.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {createRandom} from '@egretspoke/shared';
import {createFleet, type Fleet, type FleetNode} from './control-fleet.js';
import {round, startWindow, type PhaseFigures} from './control-tally.js';

/** Result for one number of nodes. */
export type SlopeResult = {
	nodes: number;
	/** Heap of a node in kilobytes, including its member list. */
	heapKilobytesPerNode: number;
	steady: PhaseFigures;
	configurationChange: PhaseFigures & {
		/** Time until the change is in force on every node; undefined if not within the window. */
		secondsUntilInForce: number | undefined;
	};
	/** Rolling restart at one graceful restart a second. */
	rollingRestart: PhaseFigures & {restarts: number};
	dataCentreReturns: PhaseFigures & {
		/** Time until every node lists all others as active again. */
		secondsUntilWhole: number | undefined;
	};
};

/** Time for gossip about the starts to complete, or nearly so at the largest number of nodes. */
const settleSeconds = (nodes: number) => Math.min(45, Math.max(4, nodes / 4));

const steadySeconds = 8;
const changeSeconds = 6;
const restarts = 6;
const cutSeconds = 12;
const returnSeconds = 20;
const pollMilliseconds = 50;

/** Measures one number of nodes. Takes up to two minutes. */
export async function measureSlope(nodes: number): Promise<SlopeResult> {
	const before = measureHeap();
	const fleet = createFleet(createRandom(nodes));
	for (let index = 0; index < nodes; index++) {
		// eslint-disable-next-line no-await-in-loop -- sequential starts.
		await fleet.start(index);
	}

	await waitSeconds(settleSeconds(nodes));
	const heap = measureHeap() - before;
	const steady = await measureWindow(fleet, steadySeconds);
	const configurationChange = await changeConfiguration(fleet);
	const rollingRestart = await restartOneByOne(fleet);
	const dataCentreReturns = await reconnectDataCentre(fleet);
	for (const node of fleet.nodes) {
		node.stop();
	}

	return {
		nodes,
		heapKilobytesPerNode: round(heap / nodes / 1024),
		steady,
		configurationChange,
		rollingRestart,
		dataCentreReturns,
	};
}

async function measureWindow(
	fleet: Fleet,
	seconds: number,
): Promise<PhaseFigures> {
	const end = startWindow(fleet.tallies, fleet.platform.counters);
	await waitSeconds(seconds);
	return end();
}

async function changeConfiguration(
	fleet: Fleet,
): Promise<SlopeResult['configurationChange']> {
	const {control} = fleet.nodes[0]!;
	const plan = await control.plan({
		author: 'benchmark',
		file: 'benchmark.yaml',
		document: '{service: service-number-1, attempts: 2}',
	});
	const end = startWindow(fleet.tallies, fleet.platform.counters);
	const answer = await control.confirm(plan._unsafeUnwrap().id);
	const version =
		answer === 'notFound' || answer.result !== 'accepted' ? 0 : answer.version;
	const secondsUntilInForce = await waitUntil(changeSeconds, () =>
		fleet.nodes.every(
			(node) => node.control.configuration.current().version === version,
		),
	);
	return {...end(), secondsUntilInForce};
}

async function restartOneByOne(
	fleet: Fleet,
): Promise<SlopeResult['rollingRestart']> {
	const end = startWindow(fleet.tallies, fleet.platform.counters);
	for (let index = 0; index < restarts; index++) {
		// eslint-disable-next-line no-await-in-loop -- sequential restarts.
		await restart(fleet, index % fleet.nodes.length);
	}

	return {...end(), restarts};
}

async function restart(fleet: Fleet, index: number): Promise<void> {
	const node = fleet.nodes.find(({name}) => name === `vm-${index}`);
	node?.control.leave();
	await waitSeconds(0.5);
	await node?.control.end();
	node?.stop();
	await fleet.start(index);
	await waitSeconds(0.5);
}

async function reconnectDataCentre(
	fleet: Fleet,
): Promise<SlopeResult['dataCentreReturns']> {
	const {dataCentre} = fleet.nodes[0]!;
	fleet.isolate(dataCentre);
	await waitSeconds(cutSeconds);
	fleet.isolate(undefined);
	const end = startWindow(fleet.tallies, fleet.platform.counters);
	const secondsUntilWhole = await waitUntil(returnSeconds, () =>
		fleet.nodes.every((node) => hasAllActiveMembers(node, fleet.nodes.length)),
	);
	return {...end(), secondsUntilWhole};
}

function hasAllActiveMembers({control}: FleetNode, count: number): boolean {
	const members = control.membership.members();
	return members.filter(({state}) => state === 'active').length === count;
}

/** Waits for the whole window; resolves with the seconds until the condition first held. */
async function waitUntil(
	seconds: number,
	condition: () => boolean,
): Promise<number | undefined> {
	const startedAt = performance.now();
	const elapsed = () => (performance.now() - startedAt) / 1000;
	let reachedAt: number | undefined;
	while (elapsed() < seconds) {
		if (reachedAt === undefined && condition()) {
			reachedAt = round(elapsed(), 2);
		}

		// eslint-disable-next-line no-await-in-loop -- polling interval.
		await wait(pollMilliseconds);
	}

	return reachedAt;
}

async function waitSeconds(seconds: number): Promise<void> {
	await wait(seconds * 1000);
}

/** Heap in use in bytes; exact only when `gc` is exposed. */
function measureHeap(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}
