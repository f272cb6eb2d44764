/**
 * Variants of node behaviour: egretspoke's own, and variants with mechanisms
 * replaced by naive ones, which verify that the checkers detect violations.
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
	createNotRunOutcome,
	type Outcome,
} from '@egretspoke/protocol';

/** The replaceable mechanisms. */
export type Handlers = {
	attempt: AttemptHandler;
	acceptance: AcceptanceRule;
};

/** Names of the variants. */
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

/** The variants by name; only `egretspoke` is intended for production. */
export const handlers: Record<HandlerName, Handlers> = {
	egretspoke: {attempt: attemptAtMostOnce, acceptance},
	naive: {
		attempt: attemptNaively,
		acceptance: acceptanceRules.lastReceived,
	},
	withoutLedger: {attempt: attemptWithoutLedger, acceptance},
	retryUnknown: {attempt: attemptRetryingUnknown, acceptance},
	timeoutIsNotRun: {attempt: attemptReportingUnknownAsNotRun, acceptance},
	latestVersion: {
		attempt: attemptAtMostOnce,
		acceptance: acceptanceRules.lastReceived,
	},
};

const naiveMaxAttempts = 3;

/** No ledger, up to three attempts after lost answers, and a missing answer is reported as "not run". */
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

/** Does not recognise repeated keys. */
async function attemptWithoutLedger(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		ledger: createDisabledLedger(options),
	});
}

/** Treats a lost answer as a refusal and retries at another target. */
async function attemptRetryingUnknown(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		dispatch: async (attempt) => dispatchWithRetries(options, attempt, 2),
	});
}

/** Reports a request without a timely answer as not run. */
async function attemptReportingUnknownAsNotRun(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	const outcome = await attemptAtMostOnce(options);
	return outcome.kind === 'unknown'
		? createNotRunOutcome(
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
