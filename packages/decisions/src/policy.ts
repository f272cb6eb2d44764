/**
 * The two interfaces behind which every decision under load stands. The node
 * and the experiment run the same implementations; the naive policy is another
 * entry of the same lookup table. Nothing here touches a network or reads a
 * clock: every call carries the instant, in monotonic milliseconds.
 */
import type {ErrorCode, LoadReport, RequestClass} from '@egretspoke/protocol';
import type {Random} from '@egretspoke/shared';
import type {DownstreamLevels} from './downstream-levels.js';

/** What a decision may know about a request. */
export type CallFacts = {
	/** Unique at this node; two attempts of one request have two ids. */
	id: string;
	service: string;
	requestClass: RequestClass;
	/** Who calls; fair shares are counted by it. */
	caller: string;
	/** The kind of work, such as `POST /payments`, by which durations are learnt. */
	operation: string;
	/** When the caller gives up. */
	deadline: number;
	/** Attempts left for the chain, this one included. */
	attempts: number;
	idempotent: boolean;
	/** The request's name along the whole chain; the id when absent. */
	chain?: string;
	/**
	 * The priority number that the chain's first admission gave, from
	 * `chainPriority`; absent at the first admission.
	 */
	priority?: number;
};

/** A refusal with its reason; `notRun` by construction. */
export type RefusalDecision = {
	kind: 'refuse';
	code: ErrorCode;
	/** A short sentence with the figures behind the decision, for the log. */
	reason: string;
	/** Milliseconds after which to come back. */
	retryAfter: number;
};

/** What the target's node does with a request that arrives. */
export type AdmissionDecision =
	| {kind: 'dispatch'; reason: string}
	| {kind: 'wait'; reason: string}
	| RefusalDecision;

/** A waiting request whose turn has come, for better or worse. */
export type QueueDecision = {id: string} & (
	{kind: 'dispatch'; reason: string} | RefusalDecision
);

/** How a dispatched request ended at the target. */
export type Completion = {
	/** Milliseconds from hand-over to the end. */
	duration: number;
	result: 'ok' | 'failed' | 'shed' | 'cancelled' | 'timeout';
};

/** Admission at the target's node: what runs, waits and is refused. */
export type AdmissionPolicy = {
	arrive(call: CallFacts, now: number): AdmissionDecision;
	/** Takes back a waiting request; false when it isn't waiting. */
	withdraw(id: string, now: number): boolean;
	/** A dispatched request ended; the slot is free. */
	finish(id: string, completion: Completion, now: number): void;
	/**
	 * The turns that are due now. To be called after `finish`, and at `wakeAt`.
	 * A request given up on gets its refusal here at once.
	 */
	processQueue(now: number): QueueDecision[];
	/** The next instant at which `turns` may have something; undefined if none. */
	wakeAt(): number | undefined;
	/** Hands back everything that waits, for a planned stop. */
	drain(now: number): QueueDecision[];
	/** The load, with the level that holds for the operation, the layers below included. */
	report(now: number, operation?: string): LoadReport;
};

/** A target as the router knows it. */
export type RoutingCandidate = {
	node: string;
	dataCentre: string;
	slots: number;
	connections: number;
	/** When this node first saw it active, for slow start. */
	since: number;
	/** Membership's trust: `suspect` is a last resort; `leaving` takes nothing. */
	state: 'active' | 'suspect' | 'leaving';
};

export type RoutingDecision =
	{kind: 'send'; node: string; reason: string} | RefusalDecision;

/** How one attempt ended, as the entry node saw it. */
export type AttemptResult = {
	node: string;
	/** Milliseconds from the choice to the end. */
	duration: number;
	result: 'ok' | 'notRun' | 'unknown' | 'cancelled' | 'unreachable';
	code?: ErrorCode;
	/** When a refusing node said to come back, in milliseconds. */
	retryAfter?: number;
	/** The load report that came with the answer, made for the call's operation. */
	load?: LoadReport;
};

/** Whether another attempt is made, and if not, what the caller is told. */
export type RetryDecision =
	| {kind: 'retry'; delay: number; exclude: string[]; reason: string}
	| RefusalDecision;

/** Routing at the entry node: where work goes, what is refused at once, what is tried again. */
export type RoutingPolicy = {
	/** Replaces the candidates of a service. */
	candidatesChanged(
		service: string,
		candidates: RoutingCandidate[],
		now: number,
	): void;
	choose(call: CallFacts, exclude: string[], now: number): RoutingDecision;
	/** An attempt that `choose` sent has started. */
	started(call: CallFacts, node: string, now: number): void;
	/** It has ended. */
	finished(call: CallFacts, result: AttemptResult, now: number): void;
	/** A load report came with an answer or a probe; it may be late or wrong. */
	observe(service: string, node: string, report: LoadReport, now: number): void;
	/** Asked after a `notRun` or `unreachable` attempt; never after `unknown` for a non-idempotent call. */
	retry(call: CallFacts, result: AttemptResult, now: number): RetryDecision;
	/** How many attempts the chain below may use, out of `call.attempts`. */
	downstreamAttempts(call: CallFacts): number;
};

/** What a policy is built from. */
export type PolicyContext = {
	/** The deciding node's own data centre. */
	dataCentre: string;
	random: Random;
	/** Mechanisms switched off, by name, for tests and the experiment's table. */
	without?: ReadonlySet<Mechanism>;
	/** What the layers below let in; one table for the admission and the routing of a node. */
	downstreamLevels?: DownstreamLevels;
};

/** What an admission policy is built from besides. */
export type AdmissionContext = PolicyContext & {
	service: string;
	slots: number;
};

/** The mechanisms that can be switched off one by one. */
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

/** One entry of the lookup table of policies. */
export type Policy = {
	name: string;
	createAdmission(context: AdmissionContext): AdmissionPolicy;
	createRouting(context: PolicyContext): RoutingPolicy;
};
