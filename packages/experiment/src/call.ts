/** What travels along the path: a user's request, the calls made for it, their ends. */
import type {CallFacts, RefusalDecision} from '@egretspoke/decisions';
import type {ErrorCode} from '@egretspoke/protocol';
import type {CallPlan, Operation} from './deployment.js';

/** One request of a user, from the first try to its own deadline. */
export type UserRequest = {
	operation: Operation;
	caller: string;
	sentAt: number;
	/** When its answer is no longer of use. */
	deadline: number;
	answeredAt?: number;
	/** Milliseconds that targets have worked for it. */
	work: number;
	/** How often it has taken effect, by service; counted only if it may not be repeated. */
	effects?: Map<string, number>;
};

/** A call as the entry node gets it. */
export type Call = {
	request: UserRequest;
	plan: CallPlan;
	service: string;
	/** When the caller gives up; without end where deadlines aren't passed on. */
	deadline: number;
	/** Attempts left for the whole chain. */
	attempts: number;
	/** The client's try, as named along the whole chain. */
	chain: string;
	/** The priority number of the chain, once an admission has given one. */
	priority?: number;
	/** The attempt on whose behalf a target calls deeper. */
	parent?: Attempt;
};

/** One attempt of a call at one target. */
export type Attempt = {
	call: Call;
	facts: CallFacts;
	node: string;
	/** It, or a call made for it, has taken effect. */
	hasRun: boolean;
	reportedNotRun: boolean;
};

/** How a call or an attempt ended. */
export type CallEnd =
	| {kind: 'answered'}
	/** Definite: nothing has taken effect. */
	| {kind: 'notRun'; code: ErrorCode; retryAfter: number}
	/** An error answer, a lost answer or a passed deadline. */
	| {kind: 'unknown'; code: ErrorCode; retryAfter: number};

/** A refusal as the end of a call. */
export function createRefusedEnd({code, retryAfter}: RefusalDecision): CallEnd {
	return {kind: 'notRun', code, retryAfter};
}
