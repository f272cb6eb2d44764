/** Creates the prom-client instruments of a registry from the table of metrics. */
import process from 'node:process';
import type {VersionReadings} from '@egretspoke/shared';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';
import {
	metricDefinitions,
	timeBuckets,
	type MetricKey,
} from './metric-catalogue.js';

/**
 * The maximum number of values of one label. Without this limit, a caller that
 * varies a value used as a label would grow the registry, by series that each
 * count 1, until the node runs out of memory.
 */
const maxLabelValues = 100;
const otherValue = 'other';

/** Creates a counter of the table. */
export function createCounter(registry: Registry, key: MetricKey): Counter {
	return new Counter({...describe(key), registers: [registry]});
}

/** Creates a gauge of the table. */
export function createGauge(registry: Registry, key: MetricKey): Gauge {
	return new Gauge({...describe(key), registers: [registry]});
}

/** Creates a histogram of the table, with buckets in seconds. */
export function createHistogram(registry: Registry, key: MetricKey): Histogram {
	return new Histogram({
		...describe(key),
		buckets: [...timeBuckets],
		registers: [registry],
	});
}

/** Creates a counter whose total is tracked elsewhere; the returned function updates it to the given total. */
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

/** Creates a function that returns the first values of a label unchanged and maps all further ones to `other`. */
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

/** The process values that every kind of node exports. */
export type ProcessReadings = {
	configurationVersion: number;
	/** The sources of the configuration. */
	versions: VersionReadings;
	isLeaving: boolean;
	openRequests: number;
	peersConnected: number;
	logLinesDropped: number;
};

const microsecondsPerSecond = 1e6;
/** Durations are recorded in milliseconds and exported in seconds. */
export const secondsPerMillisecond = 1e-3;

/** Creates the process metrics; call the returned function with current readings before each collection. */
export function createProcessGauges(
	registry: Registry,
): (readings: ProcessReadings) => void {
	const configurationVersion = createGauge(registry, 'configurationVersion');
	const updateVersions = createVersionGauges(registry);
	const leaving = createGauge(registry, 'leaving');
	const openRequests = createGauge(registry, 'openRequests');
	const peersConnected = createGauge(registry, 'peersConnected');
	const residentMemory = createGauge(registry, 'residentMemory');
	const setDropped = createExternalCounter(registry, 'logLinesDropped');
	const setProcessorTime = createExternalCounter(registry, 'processorTime');

	return (readings) => {
		configurationVersion.set(readings.configurationVersion);
		updateVersions(readings.versions);
		leaving.set(readings.isLeaving ? 1 : 0);
		openRequests.set(readings.openRequests);
		peersConnected.set(readings.peersConnected);
		residentMemory.set(process.memoryUsage.rss());
		setDropped(readings.logLinesDropped);
		const {user, system} = process.cpuUsage();
		setProcessorTime((user + system) / microsecondsPerSecond);
	};
}

/** Creates the gauges of the configuration's sources; a source that is no longer tracked is removed. */
function createVersionGauges(
	registry: Registry,
): (readings: VersionReadings) => void {
	const reported = createGauge(registry, 'configurationReported');
	const age = createGauge(registry, 'configurationAge');
	const silence = createGauge(registry, 'configurationSilence');

	return (readings) => {
		reported.set(readings.newestReported);
		age.reset();
		if (readings.source !== undefined && readings.age !== undefined) {
			age.set({source: readings.source}, readings.age * secondsPerMillisecond);
		}

		silence.reset();
		for (const [source, milliseconds] of Object.entries(readings.silence)) {
			silence.set({source}, milliseconds * secondsPerMillisecond);
		}
	};
}

/** The values of the local target that every kind of node exports. */
export type TargetReadings = {
	service: string;
	inFlight: number;
	waiting: number;
	limit: number;
};

/** Creates the gauges of the target; call the returned function with current readings before each collection. */
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
