/**
 * The only place that decides whether a non-idempotent request may be handed
 * over to a target, and whether it may be retried. A key is dispatched by one
 * attempt only, and a second target is tried only after a definite refusal by
 * the first.
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

/** One attempt at one target. */
export type Attempt = {
	/** Counts from 1. */
	number: number;
	/** Call its `handOver` in the same turn in which the request is sent. */
	ticket: AttemptTicket;
	/**
	 * Aborts at the deadline, and when the caller disconnects before the
	 * hand-over. A request that was handed over may finish after its caller has
	 * disconnected, so that a repeat receives its answer.
	 */
	signal: AbortSignal;
};

/** Options of an attempt. */
export type AttemptOptions = {
	clock: Clock;
	ledger: Ledger;
	request: LedgerRequest;
	/** In milliseconds on the monotonic clock. */
	deadline: number;
	/** Aborted when the caller has disconnected. */
	signal: AbortSignal;
	/** Selects a target and sends the request to it; resolves with the outcome. */
	dispatch(attempt: Attempt): Promise<Outcome>;
	/**
	 * Called only after a definite refusal. Resolves with undefined, after any
	 * backoff, to try another target, or with the refusal to return to the caller.
	 */
	retry(refusal: Refusal, attempt: number): Promise<Refusal | undefined>;
};

/** Handles one attempt of a caller at a non-idempotent request; the promise never rejects. */
export type AttemptHandler = (options: AttemptOptions) => Promise<Outcome>;

/** Handles an attempt at the home of its key, by the decision of the ledger. */
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
 * Runs the first attempt at a key. Resolves at the deadline at the latest; the
 * run itself is awaited to its end, so that the ledger records a late answer.
 */
async function runFirst(
	options: AttemptOptions,
	run: LedgerRun,
): Promise<Outcome> {
	const ticketSource = createTicketSource(options, run);
	const deadlinePassed = new AbortController();
	const runToEnd = async () => {
		const outcome = await tryTargets(
			options,
			ticketSource,
			deadlinePassed.signal,
		);
		record(run, outcome);
		return outcome;
	};

	return raceDeadline(options, runToEnd(), () => {
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
	/** Replaces the ticket after its target has definitely refused. */
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

		// eslint-disable-next-line no-await-in-loop -- a second target is tried only after a refusal by the first.
		const outcome = await tryTarget(options, {number, ticket}, deadlinePassed);
		if (outcome.kind !== 'notRun' || isInternalError(outcome.refusal)) {
			return outcome;
		}

		ticketSource.renew();
		// eslint-disable-next-line no-await-in-loop -- the backoff comes before the next attempt.
		const refusal = await decideRetry(options, outcome.refusal, number);
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
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	const abortUnsent = () => {
		if (ticket.state() !== 'handedOver') {
			controller.abort();
		}
	};

	deadlinePassed.addEventListener('abort', abort);
	options.signal.addEventListener('abort', abortUnsent);
	try {
		return await options.dispatch({...attempt, signal: controller.signal});
	} catch (error) {
		return endFailed(ticket, error);
	} finally {
		deadlinePassed.removeEventListener('abort', abort);
		options.signal.removeEventListener('abort', abortUnsent);
	}
}

/** Handles a dispatch that threw; the request was not run only if its ticket is still held. */
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

/** An internal error of this node would recur immediately, so it is not retried. */
function isInternalError(refusal: Refusal): boolean {
	return refusal.code === ErrorCode.Internal;
}

async function decideRetry(
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
 * Waits for the first attempt until the deadline of the repeat. If the first
 * attempt was cancelled before it ran, for a reason of its own caller, the
 * repeat replaces it.
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
		callerReasons.has(outcome.refusal.code) &&
		!options.signal.aborted
		? attemptAtMostOnce(options)
		: outcome;
}

/** Reasons that apply to the caller of one attempt, not to its repeats. */
const callerReasons = new Set([ErrorCode.CallerGone, ErrorCode.DeadlinePassed]);

/** Resolves with the settled outcome, or at the deadline with that of `atDeadline`, whichever comes first. */
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
