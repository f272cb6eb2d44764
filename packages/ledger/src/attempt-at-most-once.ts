/**
 * The one place that decides whether a non-idempotent request may be handed to
 * a target, and whether it may be tried again. The rule: a key is dispatched by
 * one attempt only, and a second target is tried only after a definite refusal
 * of the first.
 */
import {
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
	createNotRunOutcome,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';
import type {Clock, Timer} from '@egretspoke/shared';
import {createAttemptTicket, type AttemptTicket} from './attempt-ticket.js';
import {createStillRunningOutcome} from './ledger.js';
import type {Ledger, LedgerRequest, LedgerRun} from './ledger-decision.js';

/** One try at one target. */
export type Attempt = {
	/** Counts from 1. */
	number: number;
	/** Must be handed over in the same turn in which the request leaves. */
	ticket: AttemptTicket;
	/**
	 * Aborts at the deadline, and when the caller goes before the hand-over.
	 * After it the request is let finish, so that a repeat finds its answer.
	 */
	signal: AbortSignal;
};

/** What the caller of the rule brings along. */
export type AttemptOptions = {
	clock: Clock;
	ledger: Ledger;
	request: LedgerRequest;
	/** On the monotonic clock. */
	deadline: number;
	/** Aborted when the caller has gone. */
	signal: AbortSignal;
	/** Chooses a target and sends the request to it. Resolves with how that ended. */
	dispatch(attempt: Attempt): Promise<Outcome>;
	/**
	 * Asked after a definite refusal only: resolves with nothing to try another
	 * target, once any back-off has passed, or with the refusal to answer with.
	 */
	retry(refusal: Refusal, attempt: number): Promise<Refusal | undefined>;
};

/** Handles one attempt of a caller at a non-idempotent request; never rejects. */
export type AttemptHandler = (options: AttemptOptions) => Promise<Outcome>;

/** Handles an attempt at the home of its key. */
export const attemptAtMostOnce: AttemptHandler = async (options) => {
	const decision = options.ledger.begin(options.request);
	if (decision.kind === 'settled') {
		return decision.outcome;
	}

	return decision.kind === 'stillRunning'
		? waitForFirst(options, decision.settled)
		: runFirst(options, decision.run);
};

/**
 * Answers the caller by its deadline; the run itself is followed to its end,
 * so that the ledger learns of an answer that comes late.
 */
async function runFirst(
	options: AttemptOptions,
	run: LedgerRun,
): Promise<Outcome> {
	const ticketSource = createTicketSource(options, run);
	const deadlinePassed = new AbortController();
	const follow = async () => {
		const outcome = await tryTargets(
			options,
			ticketSource,
			deadlinePassed.signal,
		);
		record(run, outcome);
		return outcome;
	};

	return raceDeadline(options, follow(), () => {
		const outcome = endAtDeadline(ticketSource.current());
		if (outcome.kind === 'notRun') {
			record(run, outcome);
		}

		deadlinePassed.abort();
		return outcome;
	});
}

type TicketSource = {
	current(): AttemptTicket;
	/** Replaces a ticket whose target has definitely refused. */
	renew(): void;
};

function createTicketSource(
	options: AttemptOptions,
	run: LedgerRun,
): TicketSource {
	const create = () =>
		createAttemptTicket({...options, isExpired: run.isExpired});
	let ticket = create();
	return {
		current: () => ticket,
		renew() {
			ticket = create();
		},
	};
}

async function tryTargets(
	options: AttemptOptions,
	ticketSource: TicketSource,
	deadlinePassed: AbortSignal,
): Promise<Outcome> {
	for (let number = 1; ; number++) {
		const ticket = ticketSource.current();
		const obstacle = ticket.obstacle();
		if (obstacle) {
			return endUnsent(ticket, obstacle);
		}

		// eslint-disable-next-line no-await-in-loop -- a second target is tried only after the first has refused.
		const outcome = await tryTarget(options, {number, ticket}, deadlinePassed);
		if (outcome.kind !== 'notRun' || isOwnFault(outcome.refusal)) {
			return outcome;
		}

		ticketSource.renew();
		// eslint-disable-next-line no-await-in-loop -- the back-off comes before the next attempt.
		const refusal = await askRetry(options, outcome.refusal, number);
		if (refusal) {
			return createNotRunOutcome(outcome.proof, refusal);
		}
	}
}

async function tryTarget(
	options: AttemptOptions,
	attempt: Omit<Attempt, 'signal'>,
	deadlinePassed: AbortSignal,
): Promise<Outcome> {
	const {ticket} = attempt;
	const given = new AbortController();
	const giveUp = () => {
		given.abort();
	};

	const callerGone = () => {
		if (ticket.state() !== 'handedOver') {
			given.abort();
		}
	};

	deadlinePassed.addEventListener('abort', giveUp);
	options.signal.addEventListener('abort', callerGone);
	try {
		return await options.dispatch({...attempt, signal: given.signal});
	} catch (error) {
		return endFailed(ticket, error);
	} finally {
		deadlinePassed.removeEventListener('abort', giveUp);
		options.signal.removeEventListener('abort', callerGone);
	}
}

/** A dispatch that threw proves nothing, unless its ticket is still held. */
function endFailed(ticket: AttemptTicket, error: unknown): Outcome {
	return endUnsent(
		ticket,
		createRefusal(ErrorCode.Internal, {
			detail: error instanceof Error ? error.message : String(error),
		}),
	);
}

function endAtDeadline(ticket: AttemptTicket): Outcome {
	return ticket.revoke().match(
		(proof) =>
			createNotRunOutcome(proof, createRefusal(ErrorCode.DeadlinePassed)),
		() => createUnknownOutcome(createRefusal(ErrorCode.DeadlineWhileRunning)),
	);
}

function endUnsent(ticket: AttemptTicket, refusal: Refusal): Outcome {
	return ticket.revoke().match(
		(proof) => createNotRunOutcome(proof, refusal),
		() => createUnknownOutcome(refusal),
	);
}

/** A fault of this node would only repeat itself, and at once. */
function isOwnFault(refusal: Refusal): boolean {
	return refusal.code === ErrorCode.Internal;
}

async function askRetry(
	options: AttemptOptions,
	refusal: Refusal,
	number: number,
): Promise<Refusal | undefined> {
	try {
		return await options.retry(refusal, number);
	} catch {
		return refusal;
	}
}

function record(run: LedgerRun, outcome: Outcome): void {
	if (outcome.kind === 'answered') {
		run.answered(outcome.answer);
		return;
	}

	if (outcome.kind === 'notRun') {
		run.notRun(outcome.proof, outcome.refusal);
		return;
	}

	run.unknown(outcome.refusal);
}

/**
 * A repeat waits for the first attempt within its own deadline. When the first
 * was given up before it ran, for a reason of its own caller's, the repeat is
 * made an attempt in its place.
 */
async function waitForFirst(
	options: AttemptOptions,
	settled: Promise<Outcome>,
): Promise<Outcome> {
	const outcome = await raceDeadline(
		options,
		settled,
		createStillRunningOutcome,
	);
	return outcome.kind === 'notRun' &&
		ownReasons.has(outcome.refusal.code) &&
		!options.signal.aborted
		? attemptAtMostOnce(options)
		: outcome;
}

const ownReasons = new Set([ErrorCode.CallerGone, ErrorCode.DeadlinePassed]);

/**
 * Resolves with the settlement, or at the deadline with what the caller is
 * told then, whichever comes first.
 */
async function raceDeadline(
	options: AttemptOptions,
	settled: Promise<Outcome>,
	atDeadline: () => Outcome,
): Promise<Outcome> {
	const {clock, deadline} = options;
	let timer: Timer | undefined;
	const passed = new Promise<Outcome>((resolve) => {
		timer = clock.setTimer(deadline - clock.now(), () => {
			resolve(atDeadline());
		});
	});
	const outcome = await Promise.race([settled, passed]);
	timer?.cancel();
	return outcome;
}
