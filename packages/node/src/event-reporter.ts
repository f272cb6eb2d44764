/** Sends what the core reports to the log, the metrics and the memory of decisions. */
import {
	type DecisionMemory,
	type EventFields,
	type EventLog,
	type Metrics,
} from '@egretspoke/observability';
import {ErrorCode} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';
import type {DecisionName, NodeNotice, NodeReporter} from './node-reporter.js';

/** Where the reports go. */
export type EventReporterContext = {
	clock: Clock;
	log: EventLog;
	metrics: Metrics;
	memory: DecisionMemory;
};

/** Creates the reporter of a node. */
export function createEventReporter({
	clock,
	log,
	metrics,
	memory,
}: EventReporterContext): NodeReporter {
	return {
		decide(decision) {
			const {name, request, reason, details} = decision;
			memory.remember({...decision, at: clock.date().getTime()});
			if (log.isWanted(name, request)) {
				log.record(name, {request, reason, ...(details && {details})});
			}

			countDecision[name]?.(metrics, decision.service ?? 'unknown');
		},
		notice(notice) {
			log.record(notice.name, readFields(notice));
			const count = countNotice[notice.name] as
				((metrics: Metrics, notice: NodeNotice) => void) | undefined;
			count?.(metrics, notice);
		},
		ended({service, requestClass, outcome, duration, role}) {
			metrics.requestEnded({
				role,
				service,
				requestClass,
				duration,
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

const countDecision: Partial<
	Record<DecisionName, (metrics: Metrics, service: string) => void>
> = {
	retried(metrics, service) {
		metrics.retried(service);
	},
	retryRefused(metrics, service) {
		metrics.retryRefused(service);
	},
};

type NoticeCounters = {
	[Name in NodeNotice['name']]?: (
		metrics: Metrics,
		notice: Extract<NodeNotice, {name: Name}>,
	) => void;
};

const countNotice: NoticeCounters = {
	lateAnswer(metrics) {
		metrics.lateAnswer();
	},
	malformedMessage(metrics) {
		metrics.malformedInput('peer', 'message');
	},
	peerRefused(metrics, {detail}) {
		metrics.malformedInput('peer', detail);
	},
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
};

function readFields(notice: NodeNotice): EventFields {
	const {name: _name, reason, ...details} = {reason: undefined, ...notice};
	return {details, ...(reason !== undefined && {reason})};
}
