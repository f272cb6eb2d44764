/** The metrics of one mesh node: its own registry and typed functions that record values. */
import {Registry, type Counter, type Histogram} from 'prom-client';
import {CounterSeries, DurationSeries, SeriesMap} from './metric-series.js';
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
		/** Bytes that the node holds, by kind. */
		heldBytes: Record<string, number>;
		shedLevel: number;
		/** The share of recent offers that the local target declined. */
		declined: number;
		/** The maximum levels over all services for declined calls and for lost targets. */
		completionLevel: number;
		lostCapacityLevel: number;
		/** The maximum level over all services for requests that wait there for other services. */
		heldLevel: number;
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
	targetConnectionOpened(): void;
	/** Records a response to another request than the awaited one. */
	foreignResponse(): void;
	retried(service: string): void;
	targetCrashed(): void;
	requestQuarantined(): void;
	storeFailed(call: string): void;
	/** Records requests that ended with a connection that this node closed. */
	requestsCut(cause: string, requests: number): void;
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
	const targetConnections = createCounter(registry, 'meshTargetConnections');
	const foreignResponses = createCounter(registry, 'meshForeignResponses');
	const retries = createCounter(registry, 'retries');
	const crashes = createCounter(registry, 'targetCrashes');
	const quarantined = createCounter(registry, 'quarantined');
	const storeFailures = createCounter(registry, 'meshStoreFailures');
	const requestsCut = createCounter(registry, 'meshRequestsCut');
	const update = createReadingGauges(registry);
	const requestSeries = createRequestSeries(requests, duration);
	const queueTimes = new DurationSeries(queueTime, {}, secondsPerMillisecond);
	const targetDurations = new DurationSeries(
		targetDuration,
		{},
		secondsPerMillisecond,
	);
	const attemptSeries = new SeriesMap<CounterSeries>();
	const limitService = createLabelLimiter();

	return {
		requestEnded(request) {
			requestSeries.record(request);
		},
		attemptEnded(outcome) {
			const series =
				attemptSeries.get(outcome) ??
				attemptSeries.add(outcome, new CounterSeries(attempts, {outcome}));
			series.increment();
		},
		targetStarted(queued) {
			queueTimes.record(queued);
		},
		targetEnded(time) {
			targetDurations.record(time);
		},
		targetConnectionOpened() {
			targetConnections.inc();
		},
		foreignResponse() {
			foreignResponses.inc();
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
		requestsCut(cause, count) {
			requestsCut.inc({cause}, count);
		},
		async render(readings, linesDropped) {
			update(readings, linesDropped);
			requestSeries.flush();
			attemptSeries.flush();
			queueTimes.flush();
			targetDurations.flush();
			return registry.metrics();
		},
	};
}

/** The series of the requests of one route. */
type RouteSeries = {
	durations: DurationSeries;
	/** By outcome and reason. */
	counts: SeriesMap<CounterSeries>;
	flush(): void;
};

/** Creates the series of ended requests. */
function createRequestSeries(requests: Counter, duration: Histogram) {
	const limitRoute = createLabelLimiter();
	const byRoute = new SeriesMap<RouteSeries>();

	const createSeries = (route: string): RouteSeries => {
		const durations = new DurationSeries(
			duration,
			{route},
			secondsPerMillisecond,
		);
		const counts = new SeriesMap<CounterSeries>();
		return {
			durations,
			counts,
			flush() {
				durations.flush();
				counts.flush();
			},
		};
	};

	/** Routes beyond the limit of label values share one series. */
	const seriesOfNewRoute = (route: string): RouteSeries => {
		const label = limitRoute(route);
		return byRoute.get(label) ?? byRoute.add(label, createSeries(label));
	};

	return {
		record({route, outcome, reason, duration: time}: EndedMeshRequest) {
			const {durations, counts} = byRoute.get(route) ?? seriesOfNewRoute(route);
			const key = reason === '' ? outcome : `${outcome} ${reason}`;
			const count =
				counts.get(key) ??
				counts.add(
					key,
					new CounterSeries(requests, {
						route: limitRoute(route),
						outcome,
						reason,
					}),
				);
			count.increment();
			durations.record(time);
		},
		flush() {
			byRoute.flush();
		},
	};
}

/** The value of the gauge while the target names no rate limit; 0 is a limit. */
const noRateLimit = -1;

function createReadingGauges(registry: Registry) {
	const members = createGauge(registry, 'meshMembers');
	const heldBytes = createGauge(registry, 'meshHeldBytes');
	const shedLevel = createGauge(registry, 'meshShedLevel');
	const declined = createGauge(registry, 'meshDeclined');
	const completionLevel = createGauge(registry, 'meshCompletionLevel');
	const lostCapacityLevel = createGauge(registry, 'meshLostCapacityLevel');
	const heldLevel = createGauge(registry, 'meshHeldLevel');
	const aboveShare = createGauge(registry, 'meshWorkspacesAboveShare');
	const rateLimit = createGauge(registry, 'meshRateLimit');
	const updateProcess = createProcessGauges(registry);
	const updateTarget = createTargetGauges(registry);

	return (readings: MeshReadings, logLinesDropped: number) => {
		updateProcess({...readings, logLinesDropped});
		updateTarget(readings);
		members.set(readings.members);
		for (const [kind, bytes] of Object.entries(readings.heldBytes)) {
			heldBytes.set({kind}, bytes);
		}

		shedLevel.set(readings.shedLevel);
		declined.set(readings.declined);
		completionLevel.set(readings.completionLevel);
		lostCapacityLevel.set(readings.lostCapacityLevel);
		heldLevel.set(readings.heldLevel);
		aboveShare.set(readings.workspacesAboveShare);
		rateLimit.set(
			readings.rateLimit === undefined || !Number.isFinite(readings.rateLimit)
				? noRateLimit
				: readings.rateLimit,
		);
	};
}
