/**
 * Live benchmark: measures what egretspoke adds to a call. The same target is
 * called directly, through a plain proxy, through its own node (one hop) and
 * through an entry node (two hops). The ways alternate within one run, so that
 * the machine's load affects all of them equally. Each is warmed up first:
 * uncompiled code costs several times as much, and a node runs for days.
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

/** Options of the benchmark. */
export type LiveOptions = {
	/** Calls a second. */
	rates: number[];
	/** Measured intervals of each way at each rate. */
	rounds: number;
	/** Duration of an interval, and its uncounted warm-up, in seconds. */
	duration: number;
	warmUp: number;
	/** Warm-up of each way before all measurements, in seconds. */
	warmTime: number;
	/** Size of a request body in bytes. */
	bodySize: number;
	/** Ratio of calls whose decisions are logged. */
	logSample: number;
};

/** Latency quantiles in milliseconds. */
export type Quantiles = {p50: number; p99: number; p999: number};

/** Result of one way at one rate. */
export type WayResult = {
	way: WayName;
	latency: Quantiles;
	/** Difference to the quantiles of direct calls. */
	added: Quantiles;
	failed: number;
	/** Processor time of nodes, or of the forwarder, for a call in milliseconds. */
	processorTimePerCall: number;
};

type ByProcess = {forwarder: number; targetNode: number; entryNode: number};

/** Result of the benchmark; memory in megabytes. */
export type LiveResult = {
	options: LiveOptions;
	idleMemory: ByProcess;
	/** Ratio of a core that an idle process uses. */
	idleProcessorShare: ByProcess;
	rates: Array<{
		rate: number;
		ways: WayResult[];
		memory: ByProcess;
	}>;
};

/** The measured ways to the target. */
export type WayName = 'direct' | 'forwarded' | 'oneHop' | 'twoHops';

const ways: Record<WayName, (processes: LiveProcesses) => string> = {
	direct: ({target}) => target,
	forwarded: ({forwarder}) => forwarder.caller,
	oneHop: ({targetNode}) => targetNode.caller,
	twoHops: ({entryNode}) => entryNode.caller,
};
const wayNames: WayName[] = ['direct', 'forwarded', 'oneHop', 'twoHops'];

const megabyte = 1024 * 1024;
const idleSeconds = 5;
const clientConnections = 64;
/** Calls a second during the warm-up. */
const warmUpRate = 1000;

/** Runs the benchmark and reports its progress to `logProgress`. */
export async function runLiveBenchmark(
	options: LiveOptions,
	logProgress: (line: string) => void,
): Promise<LiveResult> {
	const processes = await startLiveProcesses(options.logSample);
	try {
		logProgress('measuring the idle processes');
		const idle = await measureIdle(processes);
		logProgress('warming up');
		for (const way of wayNames) {
			// eslint-disable-next-line no-await-in-loop -- the ways alternate.
			await measureInterval(processes, way, warmUpRate, {
				...options,
				duration: options.warmTime,
			});
		}

		const rates = [];
		for (const rate of options.rates) {
			// eslint-disable-next-line no-await-in-loop -- rates are measured sequentially.
			rates.push(await measureRate(processes, rate, options, logProgress));
		}

		return {options, ...idle, rates};
	} finally {
		await processes.stop();
	}
}

async function measureIdle(processes: LiveProcesses) {
	const before = await readUsages(processes);
	await new Promise((resolve) => {
		setTimeout(resolve, idleSeconds * 1000);
	});
	const after = await readUsages(processes);
	const share = (node: keyof Usages) =>
		round(
			(after[node].processorTime - before[node].processorTime) / idleSeconds,
		);
	return {
		idleMemory: toMemory(after),
		idleProcessorShare: {
			forwarder: share('forwarder'),
			targetNode: share('targetNode'),
			entryNode: share('entryNode'),
		},
	};
}

async function measureRate(
	processes: LiveProcesses,
	rate: number,
	options: LiveOptions,
	logProgress: (line: string) => void,
) {
	const tallies = new Map(
		wayNames.map((way) => [
			way,
			{
				latencies: createLatencyHistogram(),
				failed: 0,
				sent: 0,
				processorSeconds: 0,
			},
		]),
	);
	for (let currentRound = 1; currentRound <= options.rounds; currentRound++) {
		logProgress(`${rate} calls/s, round ${currentRound} of ${options.rounds}`);
		for (const way of wayNames) {
			const tally = tallies.get(way)!;
			// eslint-disable-next-line no-await-in-loop -- the ways alternate.
			const measured = await measureInterval(processes, way, rate, options);
			tally.latencies.add(measured.latencies);
			tally.failed += measured.failed;
			tally.sent += measured.sent;
			tally.processorSeconds += measured.processorSeconds;
		}
	}

	const direct = readQuantiles(tallies.get('direct')!.latencies);
	const results = wayNames.map((way): WayResult => {
		const {latencies, failed, sent, processorSeconds} = tallies.get(way)!;
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
			processorTimePerCall: round((processorSeconds * 1000) / sent),
		};
	});
	return {
		rate,
		ways: results,
		memory: toMemory(await readUsages(processes)),
	};
}

async function measureInterval(
	processes: LiveProcesses,
	way: WayName,
	rate: number,
	options: LiveOptions,
) {
	const dispatcher = new Agent({connections: clientConnections});
	const before = await readUsages(processes);
	const result = await runOpenLoop({
		dispatcher,
		origin: `http://${ways[way](processes)}`,
		method: 'PUT',
		path: '/work',
		headers: {'egretspoke-service': liveService},
		body: new Uint8Array(options.bodySize),
		rate,
		duration: options.duration,
		warmUp: options.warmUp,
	});
	const after = await readUsages(processes);
	await dispatcher.close();
	const processorSeconds =
		after.targetNode.processorTime -
		before.targetNode.processorTime +
		after.entryNode.processorTime -
		before.entryNode.processorTime +
		after.forwarder.processorTime -
		before.forwarder.processorTime;
	return {...result, processorSeconds};
}

type Usages = Record<keyof ByProcess, ProcessUsage>;

async function readUsages({
	forwarder,
	targetNode,
	entryNode,
}: LiveProcesses): Promise<Usages> {
	return {
		forwarder: await readUsage(forwarder.process.pid),
		targetNode: await readUsage(targetNode.process.pid),
		entryNode: await readUsage(entryNode.process.pid),
	};
}

function toMemory({forwarder, targetNode, entryNode}: Usages): ByProcess {
	return {
		forwarder: round(forwarder.residentMemory / megabyte),
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
