/**
 * The interfaces of admission and routing decisions. The node and the
 * experiment run the same implementations; the naive policy is another entry
 * of the same lookup table. No code behind them uses a network or reads a
 * clock: every call receives the current time in monotonic milliseconds.
 */
import type {ErrorCode, LoadReport, RequestClass} from '@egretspoke/protocol';
import type {Random} from '@egretspoke/shared';
import type {DownstreamLevels} from './downstream-levels.js';

/** The request attributes that decisions may use. */
export type CallFacts = {
	/** Unique at this node; each attempt of a request has its own id. */
	id: string;
	service: string;
	requestClass: RequestClass;
	/** The calling client or service; fair shares are computed by caller. */
	caller: string;
	/** The kind of work, such as `POST /payments`, by which durations are recorded. */
	operation: string;
	/** When the caller stops waiting. */
	deadline: number;
	/** Remaining attempts for the chain, including this one. */
	attempts: number;
	idempotent: boolean;
	/** The id of the request along the whole chain; defaults to `id`. */
	chain?: string;
	/**
	 * The priority number that the chain's first admission assigned, from
	 * `chainPriority`; absent at the first admission.
	 */
	priority?: number;
};

/** A refusal with its reason. The request has not run (`notRun`). */
export type RefusalDecision = {
	kind: 'refuse';
	code: ErrorCode;
	/** A short sentence with the numbers behind the decision, for the log. */
	reason: string;
	/** Milliseconds after which the caller may retry. */
	retryAfter: number;
};

/** The decision of the target's node on an arriving request. */
export type AdmissionDecision =
	| {kind: 'dispatch'; reason: string}
	| {kind: 'wait'; reason: string}
	| RefusalDecision;

/** The decision on a waiting request: it is dispatched or refused. */
export type QueueDecision = {id: string} & (
	{kind: 'dispatch'; reason: string} | RefusalDecision
);

/** The end of a dispatched request. */
export type Completion = {
	/** Milliseconds from the dispatch to the end. */
	duration: number;
	result: 'ok' | 'failed' | 'shed' | 'cancelled' | 'timeout';
};

/** Admission at the target's node: decides which requests run, wait or are refused. */
export type AdmissionPolicy = {
	arrive(call: CallFacts, now: number): AdmissionDecision;
	/** Removes a waiting request; returns false when it isn't waiting. */
	withdraw(id: string, now: number): boolean;
	/** Records the end of a dispatched request and frees its slot. */
	finish(id: string, completion: Completion, now: number): void;
	/**
	 * Dispatches and refuses waiting requests. Call it after `finish` and at
	 * `wakeAt`. Requests that exceed their maximum wait are refused in the same
	 * call.
	 */
	processQueue(now: number): QueueDecision[];
	/** The next time at which `processQueue` may have a decision; undefined if there is none. */
	wakeAt(): number | undefined;
	/** Refuses all waiting requests before a planned stop. */
	drain(now: number): QueueDecision[];
	/**
	 * The load report. Its level is the one for the operation, including the
	 * levels of downstream services.
	 */
	report(now: number, operation?: string): LoadReport;
};

/** A target that membership reports as a candidate for a service. */
export type RoutingCandidate = {
	node: string;
	dataCentre: string;
	slots: number;
	connections: number;
	/** When this node first saw the target active, for slow start. */
	since: number;
	/** The membership state: a `suspect` target is a last resort; a `leaving` one gets no work. */
	state: 'active' | 'suspect' | 'leaving';
};

export type RoutingDecision =
	{kind: 'send'; node: string; reason: string} | RefusalDecision;

/** The end of one attempt, as recorded by the entry node. */
export type AttemptResult = {
	node: string;
	/** Milliseconds from the choice of the target to the end. */
	duration: number;
	result: 'ok' | 'notRun' | 'unknown' | 'cancelled' | 'unreachable';
	code?: ErrorCode;
	/** The retry-after time of the refusing node, in milliseconds. */
	retryAfter?: number;
	/** The load report received with the answer, for the call's operation. */
	load?: LoadReport;
};

/** Whether another attempt is made; if not, the refusal for the caller. */
export type RetryDecision =
	| {kind: 'retry'; delay: number; exclude: string[]; reason: string}
	| RefusalDecision;

/**
 * Routing at the entry node: chooses targets, refuses doomed requests early
 * and decides on retries.
 */
export type RoutingPolicy = {
	/** Replaces the candidates of a service. */
	candidatesChanged(
		service: string,
		candidates: RoutingCandidate[],
		now: number,
	): void;
	choose(call: CallFacts, exclude: string[], now: number): RoutingDecision;
	/** Records the start of an attempt that `choose` sent. */
	started(call: CallFacts, node: string, now: number): void;
	/** Records the end of an attempt. */
	finished(call: CallFacts, result: AttemptResult, now: number): void;
	/** Records a load report from an answer or a probe; it may be late or wrong. */
	observe(service: string, node: string, report: LoadReport, now: number): void;
	/**
	 * Called after a `notRun` or `unreachable` attempt; never after `unknown`
	 * for a non-idempotent call.
	 */
	retry(call: CallFacts, result: AttemptResult, now: number): RetryDecision;
	/** How many of `call.attempts` the downstream chain may use. */
	downstreamAttempts(call: CallFacts): number;
};

/** The dependencies and switches of a policy. */
export type PolicyContext = {
	/** The data centre of the deciding node. */
	dataCentre: string;
	random: Random;
	/** Mechanisms to switch off, by name, for tests and the experiment's table. */
	without?: ReadonlySet<Mechanism>;
	/** The levels of downstream services; the admission and the routing of a node share one table. */
	downstreamLevels?: DownstreamLevels;
};

/** The additional dependencies of an admission policy. */
export type AdmissionContext = PolicyContext & {
	service: string;
	slots: number;
};

/** The mechanisms that can be switched off individually. */
export const mechanisms = [
	'concurrency-limit',
	'queue-time',
	'deadline-feasibility',
	'classes',
	'fair-share',
	'long-among-short',
	'upstream-refusal',
	'cancellation',
	'two-choices',
	'locality',
	'slow-start',
	'ejection',
	'retry-budget',
	'chain-attempts',
	'come-back-times',
] as const;

/** The name of a mechanism. */
export type Mechanism = (typeof mechanisms)[number];

/** An entry of the lookup table of policies. */
export type Policy = {
	name: string;
	createAdmission(context: AdmissionContext): AdmissionPolicy;
	createRouting(context: PolicyContext): RoutingPolicy;
};
