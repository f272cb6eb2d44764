/** A request on its way to a target, and what came of it. */

/** What an entry hands to the node beside a target. */
export type ForwardedRequest = {
	/** The caller's id of this attempt. */
	requestId: string;
	method: string;
	path: string;
	/** End-to-end headers, name and value by turns. */
	headers: string[];
	body: Uint8Array | undefined;
	route: string;
	/** The service that the route chose; a target of another one must not run it. */
	service: string;
	isIdempotent: boolean;
	/** It comes from a target that works on another request. */
	isInner: boolean;
	/** It is a call, or new work that makes none: no service is needed after this one. */
	isNearItsEnd: boolean;
	/** 1 when another target got it before; for a call, the share of its caller's work that is a repeat. */
	repeatShare: number;
	/** Targets that crashed under this request, as far as its entry knows. */
	crashes: number;
	priority: number;
	/** Milliseconds that it may wait for a slot. */
	patience: number;
	/** Milliseconds until its caller gets the final answer, at the time of sending. */
	timeLeft: number;
};

/** Why a request wasn't given to a target. */
export type RefusalReason =
	| 'noTarget'
	| 'targetLeaving'
	| 'otherService'
	| 'targetUnreachable'
	| 'targetReplaced'
	| 'noRoom'
	| 'waitedTooLong'
	| 'noTimeLeft'
	/** It crashes the targets that run it. */
	| 'quarantined'
	| 'nodeStopping'
	| 'linkDown';

/** Why nobody knows whether a target ran a request. */
export type LossReason =
	| 'connectionLost'
	/** Its target crashed while it had it. */
	| 'targetCrashed'
	| 'answerCut'
	| 'answerForeign'
	| 'answerUnsigned'
	| 'linkLost'
	| 'noAnswerInTime';

/** A target's answer, whole. */
export type TargetAnswer = {
	status: number;
	/** End-to-end headers, name and value by turns. */
	headers: string[];
	body: Uint8Array;
};

/** The status by which a target says that it ran a request and failed. */
const failureStatus = 500;

/** Whether the answer is the target's own failure. */
export function isTargetFailure(status: number): boolean {
	return status === failureStatus;
}

/** What came of one attempt. */
export type Outcome =
	| ({kind: 'answered'} & TargetAnswer)
	/** The target never got it, so it has not run and never will. */
	| {kind: 'refused'; reason: RefusalReason}
	/** The target got it and said that it did not run it. */
	| {kind: 'declined'; status: number}
	/** It may have run, or may still run. */
	| {kind: 'lost'; reason: LossReason};

/** Whether the connection to the target broke under a request. */
export function isConnectionLoss(outcome: Outcome): boolean {
	return (
		outcome.kind === 'lost' &&
		(outcome.reason === 'connectionLost' || outcome.reason === 'answerCut')
	);
}

/** How loaded a target is. */
export type TargetLoad = {
	/** Requests in it or waiting for it, over what it may run at once. */
	occupancy: number;
	/** What the entries are asked to refuse of the load; see `shed-level.ts`. */
	shedLevel: number;
	/** The share of its latest answers that were failures, sinking with time. */
	failureShare: number;
	/** Milliseconds that it takes for a request lately, 0 when unknown; see `run-time.ts`. */
	runTime: number;
};

/** The load of a target of which nothing has been heard. */
export const idleLoad: TargetLoad = {
	occupancy: 0,
	shedLevel: 0,
	failureShare: 0,
	runTime: 0,
};

/** Takes the outcome and the load of the target at that time. */
export type OutcomeHandler = (
	outcome: Outcome,
	load: TargetLoad | undefined,
) => void;

/** Gives up one attempt; its outcome isn't wanted any more. */
export type CancelAttempt = () => void;

/** A way to one target: through the link to its node, or beside this node. */
export type TargetChannel = {
	send(request: ForwardedRequest, onOutcome: OutcomeHandler): CancelAttempt;
};
