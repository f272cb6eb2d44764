/** What the node's core tells the log, the metrics and `explain`; one door for all three. */
import type {Outcome, RequestClass} from '@egretspoke/protocol';

/** The decisions that get a line each. */
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

/** What happened outside of any one request. */
export type NodeEvent =
	| {name: 'lateAnswer'; peer: string}
	| {name: 'malformedMessage'; detail: string}
	| {name: 'peerRefused'; detail: string}
	| {name: 'peerConnected'; peer: string}
	| {name: 'peerLost'; peer: string}
	| {name: 'childFailed'; path: string; detail: string; restartIn: number}
	| {name: 'malformedRequest'; fault: string}
	| {name: 'operatorRefused'; detail: string}
	| {name: 'suspended'; pause: number}
	| {name: 'leaving'; reason: string}
	| {name: 'drained'; cut: number}
	| {name: 'configurationTaken'; version: number; source: string}
	| {name: 'memberChanged'; node: string; state: string}
	| {name: 'configurationRefused'; version: number; detail: string}
	| {name: 'runningOnDefaults'}
	| {name: 'targetCrashed'; requests: number}
	| {name: 'requestQuarantined'; identity: string; crashes: number}
	| {name: 'platformReachable'}
	| {name: 'platformUnreachable'; detail: string};

/** A request's end, for the metrics. */
export type RequestEnd = {
	request: string;
	service: string;
	requestClass: RequestClass;
	outcome: Outcome;
	/** Milliseconds from arrival to answer. */
	duration: number;
	role: 'entry' | 'target';
};

/** Where the core reports; none of its functions may block or throw. */
export type NodeReporter = {
	recordDecision(decision: Decision): void;
	recordEvent(event: NodeEvent): void;
	recordRequestEnd(end: RequestEnd): void;
	/** Milliseconds that a dispatched request had waited. */
	waited(service: string, delay: number): void;
};

/** A reporter that keeps nothing. */
export const silentReporter: NodeReporter = {
	recordDecision: () => undefined,
	recordEvent: () => undefined,
	recordRequestEnd: () => undefined,
	waited: () => undefined,
};
