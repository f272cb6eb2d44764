/** Types of simulated traffic: user requests, the calls made for them, and their outcomes. */
import type {CallFacts, RefusalDecision} from '@egretspoke/decisions';
import type {ErrorCode} from '@egretspoke/protocol';
import type {CallPlan, Operation} from './deployment.js';

/** One request of a user, from the first try to its own deadline. */
export type UserRequest = {
	operation: Operation;
	caller: string;
	sentAt: number;
	/** Instant after which an answer no longer counts. */
	deadline: number;
	answeredAt?: number;
	/** Milliseconds of work that targets have done for it. */
	work: number;
	/** Number of times it took effect, by service; counted only for non-idempotent operations. */
	effects?: Map<string, number>;
};

/** A call as its entry node receives it. */
export type Call = {
	request: UserRequest;
	plan: CallPlan;
	service: string;
	/** Instant at which the caller gives up; infinite if deadlines are not propagated. */
	deadline: number;
	/** Attempts left for the whole chain. */
	attempts: number;
	/** Identifier of the client's try, shared by the whole chain. */
	chain: string;
	/** Priority number of the chain, once an admission has assigned one. */
	priority?: number;
	/** The upstream attempt for which a target makes this call. */
	parent?: Attempt;
};

/** One attempt of a call at one target. */
export type Attempt = {
	call: Call;
	facts: CallFacts;
	node: string;
	/** Whether it, or a call made for it, has taken effect. */
	hasRun: boolean;
	reportedNotRun: boolean;
};

/** How a call or an attempt ended. */
export type CallEnd =
	| {kind: 'answered'}
	/** Certain: nothing has taken effect. */
	| {kind: 'notRun'; code: ErrorCode; retryAfter: number}
	/** An error answer, a lost answer or an expired deadline. */
	| {kind: 'unknown'; code: ErrorCode; retryAfter: number};

/** Converts a refusal to the end of a call. */
export function createRefusedEnd({code, retryAfter}: RefusalDecision): CallEnd {
	return {kind: 'notRun', code, retryAfter};
}
