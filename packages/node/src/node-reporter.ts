/** What the core reports to the log, the metrics and `explain`, through one interface. */
import type {Outcome, RequestClass} from '@egretspoke/protocol';

/** Decisions that are logged on a line each. */
export type DecisionName =
	| 'entryRefused'
	| 'routed'
	| 'routingRefused'
	| 'retried'
	| 'retryRefused'
	| 'admitted'
	| 'queued'
	| 'admissionRefused'
	| 'dispatched'
	| 'targetEnded'
	| 'crashedUnder'
	| 'quarantined'
	| 'keyRepeated'
	| 'keyRefused'
	| 'homePassed'
	| 'requestEnded';

/** One decision about one request. */
export type Decision = {
	name: DecisionName;
	request: string;
	reason: string;
	service?: string;
	details?: Record<string, string | number>;
};

/** An event that belongs to no single request. */
export type NodeEvent =
	| {name: 'lateAnswer'; peer: string}
	| {name: 'malformedMessage'; detail: string}
	| {name: 'peerRefused'; detail: string}
	| {name: 'peerConnected'; peer: string}
	| {name: 'peerLost'; peer: string}
	| {name: 'answerDropped'; peer: string}
	| {name: 'childFailed'; path: string; detail: string; restartIn: number}
	| {
			name: 'listenerTaken';
			listener: string;
			address: string;
			detail: string;
			retryIn: number;
	  }
	| {name: 'listenerFailed'; listener: string; detail: string}
	| {name: 'taskFailed'; task: string; detail: string}
	| {name: 'malformedRequest'; fault: string}
	| {name: 'operatorRefused'; detail: string}
	| {name: 'suspended'; pause: number}
	| {name: 'leaving'; reason: string}
	| {name: 'drained'; cut: number}
	| {name: 'requestsCut'; cause: string; requests: number; answered: number}
	| {name: 'requestsGivenUp'; cause: string; requests: number}
	| {
			name: 'configurationTaken';
			version: number;
			source: string;
			delay: number;
	  }
	| {name: 'memberChanged'; node: string; state: string}
	| {name: 'configurationRefused'; version: number; detail: string}
	| {name: 'runningOnDefaults'}
	| {name: 'targetCrashed'; requests: number}
	| {name: 'requestQuarantined'; identity: string; crashes: number}
	| {name: 'platformReachable'}
	| {name: 'platformUnreachable'; detail: string};

/** The end of a request, for the metrics. */
export type RequestEnd = {
	request: string;
	service: string;
	requestClass: RequestClass;
	outcome: Outcome;
	/** Milliseconds from arrival to answer. */
	duration: number;
	role: 'entry' | 'target';
};

/** Receives the reports of the core; none of its functions may block or throw. */
export type NodeReporter = {
	recordDecision(decision: Decision): void;
	recordEvent(event: NodeEvent): void;
	recordRequestEnd(end: RequestEnd): void;
	/** Records for how many milliseconds a dispatched request had waited. */
	waited(service: string, delay: number): void;
};

/** A reporter that discards everything. */
export const silentReporter: NodeReporter = {
	recordDecision: () => undefined,
	recordEvent: () => undefined,
	recordRequestEnd: () => undefined,
	waited: () => undefined,
};

/** The text of an error in a report. */
export function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
