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
	createNotRunOutcome,
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
		acceptance: acceptanceRules.lastReceived,
	},
	withoutLedger: {attempt: attemptWithoutLedger, acceptance},
	retryUnknown: {attempt: attemptRetryingUnknown, acceptance},
	timeoutIsNotRun: {attempt: attemptDenyingUnknown, acceptance},
	latestVersion: {
		attempt: attemptAtMostOnce,
		acceptance: acceptanceRules.lastReceived,
	},
};

const naiveTries = 3;

/** No ledger, three tries whatever came back, and what has no answer "was not run". */
async function attemptNaively(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptDenyingUnknown({
		...options,
		ledger: createForgetfulLedger(options),
		dispatch: async (attempt) => dispatchAgain(options, attempt, naiveTries),
	});
}

/** Repeats are not recognised. */
async function attemptWithoutLedger(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		ledger: createForgetfulLedger(options),
	});
}

/** A lost answer is taken for a refusal, and another target is tried. */
async function attemptRetryingUnknown(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	return attemptAtMostOnce({
		...options,
		dispatch: async (attempt) => dispatchAgain(options, attempt, 2),
	});
}

/** Whoever has no answer in time says that it was not run. */
async function attemptDenyingUnknown(
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

function createForgetfulLedger({clock}: Parameters<AttemptHandler>[0]) {
	return createLedger({
		clock,
		capacity: 1,
		bytesCapacity: 0,
		maximumLifetime: Number.POSITIVE_INFINITY,
	});
}

async function dispatchAgain(
	options: Parameters<AttemptHandler>[0],
	attempt: Attempt,
	tries: number,
): Promise<Outcome> {
	const {clock, deadline, signal, dispatch} = options;
	const outcome = await dispatch(attempt);
	const ticket = createAttemptTicket({clock, deadline, signal});
	return outcome.kind === 'unknown' && tries > 1 && !ticket.obstacle()
		? dispatchAgain(options, {...attempt, ticket}, tries - 1)
		: outcome;
}
