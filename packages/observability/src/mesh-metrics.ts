/** The metrics of one mesh node: a registry of its own, and typed recorders. */
import process from 'node:process';
import {Registry} from 'prom-client';
import {
	createCounter,
	createGauge,
	createHistogram,
	createLabelBound,
	createOutsideCounter,
} from './metric-instruments.js';

/** How a request ended for its caller. */
export type MeshOutcome =
	'answered' | 'failed' | 'refused' | 'unknown' | 'left';

/** A request that ended at the entry. */
export type EndedMeshRequest = {
	route: string;
	outcome: MeshOutcome;
	/** Why there is no answer of a target; empty otherwise. */
	reason: string;
	/** Milliseconds from its arrival. */
	duration: number;
};

/** What a node shows at the moment when it is asked. */
export type MeshReadings = {
	configurationVersion: number;
	isStopping: boolean;
	openRequests: number;
	/** Nodes known, this one included, and links that can be used. */
	members: number;
	peersConnected: number;
	inFlight: number;
	waiting: number;
	limit: number;
	shedLevel: number;
	service: string;
};

/** The recorders of a node; none of them blocks or throws. */
export type MeshMetrics = {
	requestEnded(request: EndedMeshRequest): void;
	attemptEnded(outcome: string): void;
	/** Milliseconds that the target was given a request after its arrival here, and that it then took. */
	targetStarted(queued: number): void;
	targetEnded(duration: number): void;
	sentAgain(service: string): void;
	storeFailed(call: string): void;
};

/** The metrics with their text for Prometheus. */
export type RenderedMeshMetrics = MeshMetrics & {
	render(readings: MeshReadings, linesDropped: number): Promise<string>;
};

const secondsPerMillisecond = 1e-3;
const secondsPerMicrosecond = 1e-6;

/** Creates the metrics. */
export function createMeshMetrics(): RenderedMeshMetrics {
	const registry = new Registry();
	const requests = createCounter(registry, 'meshRequests');
	const duration = createHistogram(registry, 'meshRequestDuration');
	const queueTime = createHistogram(registry, 'meshQueueTime');
	const targetDuration = createHistogram(registry, 'meshTargetDuration');
	const attempts = createCounter(registry, 'meshAttempts');
	const retries = createCounter(registry, 'retries');
	const storeFailures = createCounter(registry, 'meshStoreLost');
	const update = createReadingGauges(registry);
	const boundRoute = createLabelBound();
	const boundService = createLabelBound();

	return {
		requestEnded({route, outcome, reason, duration: time}) {
			const bounded = boundRoute(route);
			requests.inc({route: bounded, outcome, reason});
			duration.observe({route: bounded}, time * secondsPerMillisecond);
		},
		attemptEnded(outcome) {
			attempts.inc({outcome});
		},
		targetStarted(queued) {
			queueTime.observe(queued * secondsPerMillisecond);
		},
		targetEnded(time) {
			targetDuration.observe(time * secondsPerMillisecond);
		},
		sentAgain(service) {
			retries.inc({service: boundService(service)});
		},
		storeFailed(call) {
			storeFailures.inc({call});
		},
		async render(readings, linesDropped) {
			update(readings, linesDropped);
			return registry.metrics();
		},
	};
}

function createReadingGauges(registry: Registry) {
	const configurationVersion = createGauge(registry, 'configurationVersion');
	const leaving = createGauge(registry, 'leaving');
	const openRequests = createGauge(registry, 'openRequests');
	const members = createGauge(registry, 'meshMembers');
	const peersConnected = createGauge(registry, 'peersConnected');
	const inFlight = createGauge(registry, 'inFlight');
	const waiting = createGauge(registry, 'waiting');
	const limit = createGauge(registry, 'concurrencyLimit');
	const shedLevel = createGauge(registry, 'meshShedLevel');
	const residentMemory = createGauge(registry, 'residentMemory');
	const setDropped = createOutsideCounter(registry, 'logLinesDropped');
	const setProcessorTime = createOutsideCounter(registry, 'processorTime');

	return (readings: MeshReadings, linesDropped: number) => {
		const {service} = readings;
		configurationVersion.set(readings.configurationVersion);
		leaving.set(readings.isStopping ? 1 : 0);
		openRequests.set(readings.openRequests);
		members.set(readings.members);
		peersConnected.set(readings.peersConnected);
		inFlight.set({service}, readings.inFlight);
		waiting.set({service}, readings.waiting);
		limit.set({service}, readings.limit);
		shedLevel.set(readings.shedLevel);
		residentMemory.set(process.memoryUsage.rss());
		setDropped(linesDropped);
		const {user, system} = process.cpuUsage();
		setProcessorTime((user + system) * secondsPerMicrosecond);
	};
}
