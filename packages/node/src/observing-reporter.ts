/** The reporter of a running node: log, metrics and decision memory behind one door. */
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
	NodeNotice,
	NodeReporter,
} from './node-reporter.js';

/** Where the reports go. */
export type ObservingReporterOptions = {
	log: EventLog;
	metrics: Metrics;
	memory: DecisionHistory;
	clock: Clock;
};

type CountNotice<Name extends NodeNotice['name']> = (
	metrics: Metrics,
	notice: Extract<NodeNotice, {name: Name}>,
) => void;

/** The notices that are counted besides being logged. */
const noticeCounters: {
	[Name in NodeNotice['name']]?: CountNotice<Name>;
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

/** The decisions that are counted besides being logged. */
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
	const decide = (decision: Decision) => {
		memory.record({...decision, at: clock.date().getTime()});
		log.record(decision.name, decision);
		decisionCounters[decision.name]?.(metrics, decision.service ?? '');
	};

	return {
		decide,
		notice(notice) {
			const {name, reason, ...details} = {reason: undefined, ...notice};
			log.record(name, {details, ...(reason !== undefined && {reason})});
			const count = noticeCounters[name] as
				CountNotice<NodeNotice['name']> | undefined;
			count?.(metrics, notice);
		},
		ended({outcome, request, ...end}) {
			if (end.role === 'entry') {
				decide({
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
