/** The reporter of a running node: writes to the log, the metrics and the decision memory. */
import type {
	DecisionHistory,
	EventLog,
	ListenerName,
	Metrics,
} from '@egretspoke/observability';
import {ErrorCode} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';
import type {
	Decision,
	DecisionName,
	NodeEvent,
	NodeReporter,
} from './node-reporter.js';

/** Destinations of the reports. */
export type ObservingReporterOptions = {
	log: EventLog;
	metrics: Metrics;
	memory: DecisionHistory;
	clock: Clock;
};

type CountEvent<Name extends NodeEvent['name']> = (
	metrics: Metrics,
	event: Extract<NodeEvent, {name: Name}>,
) => void;

/** Events that are counted in addition to being logged. */
const eventCounters: {
	[Name in NodeEvent['name']]?: CountEvent<Name>;
} = {
	lateAnswer(metrics) {
		metrics.lateAnswer();
	},
	malformedMessage: countMalformed('peer', 'message'),
	peerRefused: countMalformed('peer', 'handshake'),
	malformedRequest(metrics, {fault}) {
		metrics.malformedInput('caller', fault);
	},
	operatorRefused(metrics, {detail}) {
		metrics.malformedInput('admin', detail);
	},
	childFailed(metrics, {path}) {
		metrics.childRestarted(path);
	},
	suspended(metrics) {
		metrics.suspended();
	},
	targetCrashed(metrics) {
		metrics.targetCrashed();
	},
};

/** Decisions that are counted in addition to being logged. */
const decisionCounters: Partial<
	Record<DecisionName, (metrics: Metrics, service: string) => void>
> = {
	retried(metrics, service) {
		metrics.retried(service);
	},
	retryRefused(metrics, service) {
		metrics.retryRefused(service);
	},
	quarantined(metrics) {
		metrics.requestQuarantined();
	},
};

/** Creates the reporter. */
export function createObservingReporter(
	options: ObservingReporterOptions,
): NodeReporter {
	const {log, metrics, memory, clock} = options;
	const recordDecision = (decision: Decision) => {
		memory.record({...decision, at: clock.date().getTime()});
		log.record(decision.name, decision);
		decisionCounters[decision.name]?.(metrics, decision.service ?? '');
	};

	return {
		recordDecision,
		recordEvent(event) {
			const {name, reason, ...details} = {reason: undefined, ...event};
			log.record(name, {details, ...(reason !== undefined && {reason})});
			const count = eventCounters[name] as
				CountEvent<NodeEvent['name']> | undefined;
			count?.(metrics, event);
		},
		recordRequestEnd({outcome, request, ...end}) {
			if (end.role === 'entry') {
				recordDecision({
					name: 'requestEnded',
					request,
					reason:
						outcome.kind === 'answered'
							? outcome.kind
							: `${outcome.kind}: ${outcome.refusal.detail}`,
					details: {milliseconds: Math.round(end.duration * 10) / 10},
				});
			}

			metrics.requestEnded({
				...end,
				outcome: outcome.kind,
				...(outcome.kind !== 'answered' && {
					error: ErrorCode[outcome.refusal.code],
				}),
			});
		},
		waited(service, delay) {
			metrics.waited(service, delay);
		},
	};
}

function countMalformed(listener: ListenerName, kind: string) {
	return (metrics: Metrics) => {
		metrics.malformedInput(listener, kind);
	};
}
