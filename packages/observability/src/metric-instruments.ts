/** Makes the instruments of a registry from the table of metrics. */
import process from 'node:process';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';
import {
	metricDefinitions,
	timeBuckets,
	type MetricKey,
} from './metric-catalogue.js';

/**
 * The most values that one label takes. Without a bound a caller who varies
 * what ends up in a label would grow the registry until the node runs out of
 * memory; one would notice pages of series that each count 1.
 */
const maxLabelValues = 100;
const otherValue = 'other';

/** A counter of the table. */
export function createCounter(registry: Registry, key: MetricKey): Counter {
	return new Counter({...describe(key), registers: [registry]});
}

/** A gauge of the table. */
export function createGauge(registry: Registry, key: MetricKey): Gauge {
	return new Gauge({...describe(key), registers: [registry]});
}

/** A histogram of the table, in seconds. */
export function createHistogram(registry: Registry, key: MetricKey): Histogram {
	return new Histogram({
		...describe(key),
		buckets: [...timeBuckets],
		registers: [registry],
	});
}

/** A counter whose total is kept elsewhere. */
function createExternalCounter(registry: Registry, key: MetricKey) {
	const counter = createCounter(registry, key);
	let lastTotal = 0;
	return (total: number) => {
		counter.inc(Math.max(0, total - lastTotal));
		lastTotal = total;
	};
}

function describe(key: MetricKey) {
	const {name, help, labels} = metricDefinitions[key];
	return {name, help, labelNames: [...labels]};
}

/** Lets the first values of a label through and names the rest alike. */
export function createLabelLimiter(): (value: string) => string {
	const known = new Set<string>();
	return (value) => {
		if (known.has(value)) {
			return value;
		}

		if (known.size >= maxLabelValues) {
			return otherValue;
		}

		known.add(value);
		return value;
	};
}

/** What every kind of node shows of its process. */
export type ProcessReadings = {
	configurationVersion: number;
	isLeaving: boolean;
	openRequests: number;
	peersConnected: number;
	logLinesDropped: number;
};

const microsecondsPerSecond = 1e6;
/** Durations are told in milliseconds and shown in seconds. */
export const secondsPerMillisecond = 1e-3;

/** Creates what shows the process; to be called with new readings for each collection. */
export function createProcessGauges(
	registry: Registry,
): (readings: ProcessReadings) => void {
	const configurationVersion = createGauge(registry, 'configurationVersion');
	const leaving = createGauge(registry, 'leaving');
	const openRequests = createGauge(registry, 'openRequests');
	const peersConnected = createGauge(registry, 'peersConnected');
	const residentMemory = createGauge(registry, 'residentMemory');
	const setDropped = createExternalCounter(registry, 'logLinesDropped');
	const setProcessorTime = createExternalCounter(registry, 'processorTime');

	return (readings) => {
		configurationVersion.set(readings.configurationVersion);
		leaving.set(readings.isLeaving ? 1 : 0);
		openRequests.set(readings.openRequests);
		peersConnected.set(readings.peersConnected);
		residentMemory.set(process.memoryUsage.rss());
		setDropped(readings.logLinesDropped);
		const {user, system} = process.cpuUsage();
		setProcessorTime((user + system) / microsecondsPerSecond);
	};
}

/** What every kind of node shows of the target beside it. */
export type TargetReadings = {
	service: string;
	inFlight: number;
	waiting: number;
	limit: number;
};

/** Creates what shows the target; to be called with new readings for each collection. */
export function createTargetGauges(
	registry: Registry,
): (readings: TargetReadings) => void {
	const gauges = {
		inFlight: createGauge(registry, 'inFlight'),
		waiting: createGauge(registry, 'waiting'),
		limit: createGauge(registry, 'concurrencyLimit'),
	};

	return ({service, inFlight, waiting, limit}) => {
		gauges.inFlight.set({service}, inFlight);
		gauges.waiting.set({service}, waiting);
		gauges.limit.set({service}, limit);
	};
}
