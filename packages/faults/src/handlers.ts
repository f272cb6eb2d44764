/**
 * The ways in which nodes may behave, for the proof that the checks can fail:
 * ours, and ours with one mechanism replaced by what is done without it.
 */
import {
	attemptAtMostOnce,
	createAttemptTicket,
	createLedger,
	type Attempt,
	type AttemptHandler,
} from '@egretspoke/ledger';
import {acceptanceRules, type AcceptanceRule} from '@egretspoke/control';
import {
	acceptCertifiedRefusal,
	createRefusal,
	ErrorCode,
	refuseNotRun,
	type Outcome,
} from '@egretspoke/protocol';

/** What can be replaced. */
export type Handlers = {
	attempt: AttemptHandler;
	acceptance: AcceptanceRule;
};

/** The names of the ways. */
export const handlerNames = [
	'egretspoke',
	'naive',
	'withoutLedger',
	'retryUnknown',
	'timeoutIsNotRun',
	'latestVersion',
] as const;

export type HandlerName = (typeof handlerNames)[number];

const acceptance = acceptanceRules.higherAndWhole;

/** The ways by name; only `egretspoke` is meant for use. */
export const handlers: Record<HandlerName, Handlers> = {
	egretspoke: {attempt: attemptAtMostOnce, acceptance},
	naive: {
		attempt: attemptNaively,
		acceptance: acceptanceRules.latestHeard,
	},
	withoutLedger: {attempt: attemptWithoutLedger, acceptance},
	retryUnknown: {attempt: attemptRetryingUnknown, acceptance},
	timeoutIsNotRun: {attempt: attemptReportingUnknownAsNotRun, acceptance},
	latestVersion: {
		attempt: attemptAtMostOnce,
		acceptance: acceptanceRules.latestHeard,
	},
};

const naiveMaxAttempts = 3;

/** No ledger, three attemptsLeft whatever came back, and what has no answer "was not run". */
async function attemptNaively(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptReportingUnknownAsNotRun({
		...options,
		ledger: createDisabledLedger(options),
		dispatch: async (attempt) =>
			dispatchWithRetries(options, attempt, naiveMaxAttempts),
	});
}

/** Repeats are not recognised. */
async function attemptWithoutLedger(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		ledger: createDisabledLedger(options),
	});
}

/** A lost answer is taken for a refusal, and another target is tried. */
async function attemptRetryingUnknown(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		dispatch: async (attempt) => dispatchWithRetries(options, attempt, 2),
	});
}

/** Whoever has no answer in time says that it was not run. */
async function attemptReportingUnknownAsNotRun(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	const outcome = await attemptAtMostOnce(options);
	return outcome.kind === 'unknown'
		? refuseNotRun(
				acceptCertifiedRefusal('peer'),
				createRefusal(ErrorCode.DeadlinePassed),
			)
		: outcome;
}

function createDisabledLedger({clock}: Parameters<AttemptHandler>[0]) {
	return createLedger({
		clock,
		capacity: 1,
		bytesCapacity: 0,
		maximumLifetime: Number.POSITIVE_INFINITY,
	});
}

async function dispatchWithRetries(
	options: Parameters<AttemptHandler>[0],
	attempt: Attempt,
	attemptsLeft: number,
): Promise<Outcome> {
	const {clock, deadline, signal, dispatch} = options;
	const outcome = await dispatch(attempt);
	const ticket = createAttemptTicket({clock, deadline, signal});
	return outcome.kind === 'unknown' && attemptsLeft > 1 && !ticket.obstacle()
		? dispatchWithRetries(options, {...attempt, ticket}, attemptsLeft - 1)
		: outcome;
}
