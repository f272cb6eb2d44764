/** The metrics of one node: its own registry and typed functions that record values. */
import type {RequestClass} from '@egretspoke/protocol';
import {Registry} from 'prom-client';
import type {MetricKey} from './metric-catalogue.js';
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

/** A request that ended. */
export type EndedRequest = {
	role: 'entry' | 'target';
	service: string;
	requestClass: RequestClass;
	outcome: 'answered' | 'notRun' | 'unknown';
	/** The name of the error code; absent for an answer. */
	error?: string;
	/** Milliseconds from arrival to answer. */
	duration: number;
};

/** The current values that are read at each collection. */
export type NodeReadings = ProcessReadings & {
	isPlatformReachable: boolean;
	/** Number of members by state. */
	members: Readonly<Record<string, number>>;
	ledgerKeys: number;
	ledgerBytes: number;
	/** Absent on a node without a target. */
	target?: TargetReadings & {level: number};
};

/** The listener that received malformed input. */
export type ListenerName = 'caller' | 'peer' | 'admin';

/** Records the metrics of a node; no method blocks or throws. */
export type Metrics = {
	registry: Registry;
	requestEnded(request: EndedRequest): void;
	/** Records how long a dispatched request waited, in milliseconds. */
	waited(service: string, delay: number): void;
	retried(service: string): void;
	retryRefused(service: string): void;
	malformedInput(listener: ListenerName, kind: string): void;
	lateAnswer(): void;
	childRestarted(child: string): void;
	suspended(): void;
	targetCrashed(): void;
	requestQuarantined(): void;
	/** Returns the metrics in the text format of Prometheus. */
	render(): Promise<string>;
};

/** The content type of the rendered text. */
export const metricsContentType = Registry.PROMETHEUS_CONTENT_TYPE;

const outcomeLabels: Record<EndedRequest['outcome'], string> = {
	answered: 'answered',
	notRun: 'not_run',
	unknown: 'unknown',
};

/** Creates the metrics; `read` is called once per collection. */
export function createMetrics(read: () => NodeReadings): Metrics {
	const registry = new Registry();
	const requests = createCounter(registry, 'requests');
	const duration = createHistogram(registry, 'requestDuration');
	const queueTime = createHistogram(registry, 'queueTime');
	const retries = createCounter(registry, 'retries');
	const retriesRefused = createCounter(registry, 'retriesRefused');
	const malformedInput = createCounter(registry, 'malformedInput');
	const lateAnswers = createCounter(registry, 'lateAnswers');
	const childRestarts = createCounter(registry, 'childRestarts');
	const suspensions = createCounter(registry, 'suspensions');
	const crashes = createCounter(registry, 'targetCrashes');
	const quarantined = createCounter(registry, 'quarantined');
	const update = createReadingGauges(registry);
	const limitService = createLabelLimiter();
	const limitKind = createLabelLimiter();
	const limitChild = createLabelLimiter();

	return {
		registry,
		requestEnded({role, service, requestClass, outcome, error, ...rest}) {
			const serviceLabel = limitService(service);
			requests.inc({
				role,
				service: serviceLabel,
				class: requestClass,
				outcome: outcomeLabels[outcome],
				error: error ?? '',
			});
			duration.observe(
				{role, service: serviceLabel},
				rest.duration * secondsPerMillisecond,
			);
		},
		waited(service, delay) {
			queueTime.observe(
				{service: limitService(service)},
				delay * secondsPerMillisecond,
			);
		},
		retried(service) {
			retries.inc({service: limitService(service)});
		},
		retryRefused(service) {
			retriesRefused.inc({service: limitService(service)});
		},
		malformedInput(listener, kind) {
			malformedInput.inc({listener, kind: limitKind(kind)});
		},
		lateAnswer() {
			lateAnswers.inc();
		},
		childRestarted(child) {
			childRestarts.inc({child: limitChild(child)});
		},
		suspended() {
			suspensions.inc();
		},
		targetCrashed() {
			crashes.inc();
		},
		requestQuarantined() {
			quarantined.inc();
		},
		async render() {
			update(read());
			return registry.metrics();
		},
	};
}

/** Creates a function that sets all gauges, and the counters that are tracked elsewhere, from one set of readings. */
function createReadingGauges(registry: Registry) {
	const gauge = (key: MetricKey) => createGauge(registry, key);
	const platformReachable = gauge('platformReachable');
	const members = gauge('members');
	const ledgerKeys = gauge('ledgerKeys');
	const ledgerBytes = gauge('ledgerBytes');
	const level = gauge('admissionLevel');
	const updateProcess = createProcessGauges(registry);
	const updateTarget = createTargetGauges(registry);

	return (readings: NodeReadings) => {
		updateProcess(readings);
		platformReachable.set(readings.isPlatformReachable ? 1 : 0);
		ledgerKeys.set(readings.ledgerKeys);
		ledgerBytes.set(readings.ledgerBytes);
		members.reset();
		for (const [state, count] of Object.entries(readings.members)) {
			members.set({state}, count);
		}

		const {target} = readings;
		if (target) {
			updateTarget(target);
			level.set({service: target.service}, target.level);
		}
	};
}
