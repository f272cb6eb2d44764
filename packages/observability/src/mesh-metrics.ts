/** The metrics of one mesh node: its own registry and typed functions that record values. */
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

/** The outcome of a request for its caller. */
export type MeshOutcome =
	'answered' | 'failed' | 'refused' | 'unknown' | 'left';

/** A request that ended at its entry node. */
export type EndedMeshRequest = {
	route: string;
	outcome: MeshOutcome;
	/** Why no target answered; empty otherwise. */
	reason: string;
	/** Milliseconds from arrival to end. */
	duration: number;
};

/** The current values that are read at each collection. */
export type MeshReadings = Omit<ProcessReadings, 'logLinesDropped'> &
	TargetReadings & {
		/** Number of known nodes, this one included. */
		members: number;
		shedLevel: number;
		/** Number of workspaces above their fair share of a full service. */
		workspacesAboveShare: number;
		/** Requests per second that the local target accepts; undefined or infinite without a limit. */
		rateLimit: number | undefined;
	};

/** Records the metrics of a node; no method blocks or throws. */
export type MeshMetrics = {
	requestEnded(request: EndedMeshRequest): void;
	attemptEnded(outcome: string): void;
	/** Records the milliseconds between the arrival of a request at this node and its start at the target. */
	targetStarted(queued: number): void;
	/** Records the milliseconds that the target took. */
	targetEnded(duration: number): void;
	retried(service: string): void;
	targetCrashed(): void;
	requestQuarantined(): void;
	storeFailed(call: string): void;
};

/** Metrics that can be rendered in the text format of Prometheus. */
export type RenderedMeshMetrics = MeshMetrics & {
	render(readings: MeshReadings, linesDropped: number): Promise<string>;
};

/** Creates the metrics of a mesh node. */
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

/** The value of the gauge while the target names no rate limit; 0 is a limit. */
const noRateLimit = -1;

function createReadingGauges(registry: Registry) {
	const members = createGauge(registry, 'meshMembers');
	const shedLevel = createGauge(registry, 'meshShedLevel');
	const aboveShare = createGauge(registry, 'meshWorkspacesAboveShare');
	const rateLimit = createGauge(registry, 'meshRateLimit');
	const updateProcess = createProcessGauges(registry);
	const updateTarget = createTargetGauges(registry);

	return (readings: MeshReadings, logLinesDropped: number) => {
		updateProcess({...readings, logLinesDropped});
		updateTarget(readings);
		members.set(readings.members);
		shedLevel.set(readings.shedLevel);
		aboveShare.set(readings.workspacesAboveShare);
		rateLimit.set(
			readings.rateLimit === undefined || !Number.isFinite(readings.rateLimit)
				? noRateLimit
				: readings.rateLimit,
		);
	};
}
