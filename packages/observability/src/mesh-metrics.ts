/** The metrics of one mesh node: a registry of its own, and typed recorders. */
import {Registry} from 'prom-client';
import {
	createCounter,
	createGauge,
	createHistogram,
	createLabelLimiter,
	createProcessGauges,
	createTargetGauges,
	secondsPerMillisecond,
	type ProcessReadings,
	type TargetReadings,
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
export type MeshReadings = Omit<ProcessReadings, 'logLinesDropped'> &
	TargetReadings & {
		/** Nodes known, this one included. */
		members: number;
		shedLevel: number;
	};

/** The recorders of a node; none of them blocks or throws. */
export type MeshMetrics = {
	requestEnded(request: EndedMeshRequest): void;
	attemptEnded(outcome: string): void;
	/** Milliseconds that the target was given a request after its arrival here, and that it then took. */
	targetStarted(queued: number): void;
	targetEnded(duration: number): void;
	retried(service: string): void;
	targetCrashed(): void;
	requestQuarantined(): void;
	storeFailed(call: string): void;
};

/** The metrics with their text for Prometheus. */
export type RenderedMeshMetrics = MeshMetrics & {
	render(readings: MeshReadings, linesDropped: number): Promise<string>;
};

/** Creates the metrics. */
export function createMeshMetrics(): RenderedMeshMetrics {
	const registry = new Registry();
	const requests = createCounter(registry, 'meshRequests');
	const duration = createHistogram(registry, 'meshRequestDuration');
	const queueTime = createHistogram(registry, 'meshQueueTime');
	const targetDuration = createHistogram(registry, 'meshTargetDuration');
	const attempts = createCounter(registry, 'meshAttempts');
	const retries = createCounter(registry, 'retries');
	const crashes = createCounter(registry, 'targetCrashes');
	const quarantined = createCounter(registry, 'quarantined');
	const storeFailures = createCounter(registry, 'meshStoreFailures');
	const update = createReadingGauges(registry);
	const limitRoute = createLabelLimiter();
	const limitService = createLabelLimiter();

	return {
		requestEnded({route, outcome, reason, duration: time}) {
			const routeLabel = limitRoute(route);
			requests.inc({route: routeLabel, outcome, reason});
			duration.observe({route: routeLabel}, time * secondsPerMillisecond);
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
		retried(service) {
			retries.inc({service: limitService(service)});
		},
		targetCrashed() {
			crashes.inc();
		},
		requestQuarantined() {
			quarantined.inc();
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
	const members = createGauge(registry, 'meshMembers');
	const shedLevel = createGauge(registry, 'meshShedLevel');
	const updateProcess = createProcessGauges(registry);
	const updateTarget = createTargetGauges(registry);

	return (readings: MeshReadings, logLinesDropped: number) => {
		updateProcess({...readings, logLinesDropped});
		updateTarget(readings);
		members.set(readings.members);
		shedLevel.set(readings.shedLevel);
	};
}
