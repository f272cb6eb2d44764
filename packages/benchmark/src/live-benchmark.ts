/**
 * The live benchmark: what egretspoke adds to a call. The same target is
 * called directly, through its own node (one hop) and through an entry node
 * (two hops), in turns within one run, so that all three meet the same machine.
 */
import type {Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {
	liveService,
	startLiveProcesses,
	type LiveProcesses,
} from './live-processes.js';
import {createLatencyHistogram, runOpenLoop} from './open-loop.js';
import {readUsage, type ProcessUsage} from './process-usage.js';

/** What to measure. */
export type LiveOptions = {
	/** Calls a second. */
	rates: number[];
	/** Turns of each way at each rate. */
	rounds: number;
	/** Seconds of each turn, and those of them that aren't counted. */
	duration: number;
	warmUp: number;
	/** Bytes of each body. */
	bodySize: number;
	/** The share of calls whose decisions are logged. */
	logSample: number;
};

/** Milliseconds. */
export type Quantiles = {p50: number; p99: number; p999: number};

/** One way at one rate. */
export type WayResult = {
	way: WayName;
	latency: Quantiles;
	/** The way's quantile less the direct one's. */
	added: Quantiles;
	failed: number;
	/** Milliseconds of processor time that nodes spent on a call. */
	processorTimePerCall: number;
};

/** All that was measured. Memory in megabytes. */
export type LiveResult = {
	options: LiveOptions;
	idleMemory: {targetNode: number; entryNode: number};
	/** Share of a core that a node spent while idle. */
	idleProcessorShare: {targetNode: number; entryNode: number};
	rates: Array<{
		rate: number;
		ways: WayResult[];
		memory: {targetNode: number; entryNode: number};
	}>;
};

/** The ways to the target. */
export type WayName = 'direct' | 'oneHop' | 'twoHops';

const ways: Record<WayName, (processes: LiveProcesses) => string> = {
	direct: ({target}) => target,
	oneHop: ({targetNode}) => targetNode.caller,
	twoHops: ({entryNode}) => entryNode.caller,
};
const wayNames: WayName[] = ['direct', 'oneHop', 'twoHops'];

const megabyte = 1024 * 1024;
const idleSeconds = 5;
const clientConnections = 64;

/** Runs the whole benchmark; progress goes to the function. */
export async function runLiveBenchmark(
	options: LiveOptions,
	say: (line: string) => void,
): Promise<LiveResult> {
	const processes = await startLiveProcesses(options.logSample);
	try {
		say('measuring the idle nodes');
		const idle = await measureIdle(processes);
		const rates = [];
		for (const rate of options.rates) {
			// eslint-disable-next-line no-await-in-loop -- one rate after another.
			rates.push(await measureRate(processes, rate, options, say));
		}

		return {options, ...idle, rates};
	} finally {
		await processes.stop();
	}
}

async function measureIdle(processes: LiveProcesses) {
	const before = await readNodes(processes);
	await new Promise((resolve) => {
		setTimeout(resolve, idleSeconds * 1000);
	});
	const after = await readNodes(processes);
	const share = (node: 'targetNode' | 'entryNode') =>
		round(
			(after[node].processorTime - before[node].processorTime) / idleSeconds,
		);
	return {
		idleMemory: memoryOf(after),
		idleProcessorShare: {
			targetNode: share('targetNode'),
			entryNode: share('entryNode'),
		},
	};
}

async function measureRate(
	processes: LiveProcesses,
	rate: number,
	options: LiveOptions,
	say: (line: string) => void,
) {
	const tallies = new Map(
		wayNames.map((way) => [
			way,
			{latencies: createLatencyHistogram(), failed: 0, sent: 0, busy: 0},
		]),
	);
	for (let turn = 1; turn <= options.rounds; turn++) {
		say(`${rate} calls/s, turn ${turn} of ${options.rounds}`);
		for (const way of wayNames) {
			const tally = tallies.get(way)!;
			// eslint-disable-next-line no-await-in-loop -- the ways take turns.
			const measured = await measureTurn(processes, way, rate, options);
			tally.latencies.add(measured.latencies);
			tally.failed += measured.failed;
			tally.sent += measured.sent;
			tally.busy += measured.busy;
		}
	}

	const direct = readQuantiles(tallies.get('direct')!.latencies);
	const results = wayNames.map((way): WayResult => {
		const {latencies, failed, sent, busy} = tallies.get(way)!;
		const latency = readQuantiles(latencies);
		return {
			way,
			latency,
			added: {
				p50: round(latency.p50 - direct.p50),
				p99: round(latency.p99 - direct.p99),
				p999: round(latency.p999 - direct.p999),
			},
			failed,
			processorTimePerCall: round((busy * 1000) / sent),
		};
	});
	return {rate, ways: results, memory: memoryOf(await readNodes(processes))};
}

async function measureTurn(
	processes: LiveProcesses,
	way: WayName,
	rate: number,
	options: LiveOptions,
) {
	const dispatcher = new Agent({connections: clientConnections});
	const before = await readNodes(processes);
	const result = await runOpenLoop({
		dispatcher,
		origin: `http://${ways[way](processes)}`,
		headers: {'egretspoke-service': liveService},
		body: new Uint8Array(options.bodySize),
		rate,
		duration: options.duration,
		warmUp: options.warmUp,
	});
	const after = await readNodes(processes);
	await dispatcher.close();
	const busy =
		after.targetNode.processorTime -
		before.targetNode.processorTime +
		after.entryNode.processorTime -
		before.entryNode.processorTime;
	return {...result, busy};
}

type NodeUsages = {targetNode: ProcessUsage; entryNode: ProcessUsage};

async function readNodes({
	targetNode,
	entryNode,
}: LiveProcesses): Promise<NodeUsages> {
	return {
		targetNode: await readUsage(targetNode.process.pid),
		entryNode: await readUsage(entryNode.process.pid),
	};
}

function memoryOf({targetNode, entryNode}: NodeUsages) {
	return {
		targetNode: round(targetNode.residentMemory / megabyte),
		entryNode: round(entryNode.residentMemory / megabyte),
	};
}

function readQuantiles(latencies: Histogram): Quantiles {
	const read = (percentile: number) =>
		round(latencies.getValueAtPercentile(percentile) / 1000);
	return {p50: read(50), p99: read(99), p999: read(99.9)};
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
