/** The request that an entry node sends to a target's node, and the outcome of the attempt. */
import type {BodyStream} from '../bodies/body-stream.js';
import type {BodyHold} from '../decisions/memory/memory-budget.js';

/** A request as an entry node sends it to a target's node. */
export type ForwardedRequest = {
	/** The caller's id of this attempt. */
	requestId: string;
	method: string;
	path: string;
	/** End-to-end headers, names and values alternating. */
	headers: string[];
	body: Uint8Array | undefined;
	/** The memory of the body at this node, if it is counted. */
	bodyHold?: BodyHold | undefined;
	route: string;
	/** The service selected by the route; targets of other services must not run the request. */
	service: string;
	isIdempotent: boolean;
	/** It is a call of a target, made while that target runs another request. */
	isInner: boolean;
	/** It is a call of running work, or new work that makes no calls: no service is needed after this one. */
	isNearCompletion: boolean;
	/** 1 if another target received it before; for a call, the share of the calling target's work that is a repeat. */
	repeatShare: number;
	/** Known crashes of targets while they ran this request. */
	crashes: number;
	priority: number;
	/** Maximum wait for a slot or for the rate limit of the target, in milliseconds; 0 if it may not wait. */
	maxWait: number;
	/** Milliseconds until the deadline of the final answer, at the time of sending. */
	timeLeft: number;
};

/** Why a request was refused before it reached the target. */
export type RefusalReason =
	| 'noTarget'
	| 'targetLeaving'
	| 'otherService'
	| 'targetUnreachable'
	| 'targetReplaced'
	| 'noRoom'
	/** The target has named a rate limit, and the request would have had to wait too long for it. */
	| 'rateLimited'
	| 'waitedTooLong'
	| 'noTimeLeft'
	/** It crashes the targets that run it. */
	| 'quarantined'
	| 'nodeStopping'
	| 'linkDown';

/** Why it is unknown whether a target ran a request. */
export type LossReason =
	| 'connectionLost'
	/** The target crashed while it ran the request. */
	| 'targetCrashed'
	| 'answerCut'
	| 'answerForeign'
	| 'answerUnsigned'
	| 'linkLost'
	| 'noAnswerInTime';

/** A complete answer of a target. */
export type TargetAnswer = {
	status: number;
	/** End-to-end headers, names and values alternating. */
	headers: string[];
	/** Empty if the body is a stream. */
	body: Uint8Array;
	/** The body, if it is too large to be held whole. */
	stream?: BodyStream | undefined;
};

/** Whoever doesn't pass an outcome on ends the body that may still arrive with it. */
export function discardOutcome(outcome: Outcome): void {
	if (outcome.kind === 'answered') {
		outcome.stream?.cancel();
	}
}

/** The status of a target that ran a request and failed. */
const failureStatus = 500;

/** Whether the answer is the target's own failure. */
export function isTargetFailure(status: number): boolean {
	return status === failureStatus;
}

/** The outcome of one attempt. */
export type Outcome =
	| ({kind: 'answered'} & TargetAnswer)
	/** The target never received it, so it has not run and never will. */
	| {kind: 'refused'; reason: RefusalReason}
	/** The target received it and certified that it did not run it. */
	| {kind: 'declined'; status: number}
	/** It may have run, or may still be running. */
	| {kind: 'lost'; reason: LossReason};

/** Whether the connection to the target was lost during the request. */
export function isConnectionLoss(outcome: Outcome): boolean {
	return (
		outcome.kind === 'lost' &&
		(outcome.reason === 'connectionLost' || outcome.reason === 'answerCut')
	);
}

/** The rate limit that a target names, and its use. */
export type RateLoad = {
	/** Requests per second from all nodes together, infinite without a limit. */
	limit: number;
	/** Its use by recent and waiting requests; from 1 on, the next request has to wait. */
	occupancy: number;
};

/** The load of a target. */
export type TargetLoad = {
	/** Running and waiting requests, divided by the concurrency limit. */
	occupancy: number;
	/** How much of the load entry nodes are to shed; see `shed-level.ts`. */
	shedLevel: number;
	/** The share of failures among recent outcomes, decaying over time. */
	failureShare: number;
	/** Recent run time of a request in milliseconds, 0 if unknown; see `run-time.ts`. */
	runTime: number;
	/** The share of recent offers that the target declined. */
	declined: number;
	/** How much of the load whose calls reach the target entry nodes are to shed because calls end declined; see `completion-chance.ts`. */
	declineLevel: number;
	/** The same for the load of requests that make calls at the target and wait for them; see `bulkhead.ts`. */
	heldLevel: number;
	/** The demand for the target before shedding, as a multiple of its capacity. */
	demand: number;
	/** Absent while the node knows no answer of the target. */
	rate?: RateLoad | undefined;
};

/** Whether the target has named a rate limit. */
export function isRateLimited({rate}: TargetLoad): boolean {
	return rate !== undefined && rate.limit < Number.POSITIVE_INFINITY;
}

/** The load of a target that has not reported yet. */
export const idleLoad: TargetLoad = {
	occupancy: 0,
	shedLevel: 0,
	failureShare: 0,
	runTime: 0,
	declined: 0,
	declineLevel: 0,
	heldLevel: 0,
	demand: 0,
};

/** Receives the outcome of an attempt and the load of the target at that time. */
export type OutcomeHandler = (
	outcome: Outcome,
	load: TargetLoad | undefined,
) => void;

/** Cancels an attempt; its outcome is discarded. */
export type CancelAttempt = () => void;

/** A channel to one target: over the link to its node, or direct if it is local. */
export type TargetChannel = {
	send(request: ForwardedRequest, onOutcome: OutcomeHandler): CancelAttempt;
};
