/**
 * Attempts at an idempotent request: another target is tried after a definite
 * refusal and also after a lost answer.
 */
import {createAttemptTicket} from '@egretspoke/ledger';
import {
	createUnknownOutcome,
	ErrorCode,
	type Outcome,
} from '@egretspoke/protocol';
import {createAttempts, type AttemptsContext} from './attempts.js';
import type {EntryCall} from './request-chain.js';

/**
 * Resolves with the first answer, or with the outcome of the last attempt; the
 * signal aborts at the deadline.
 */
export async function attemptIdempotent(
	context: AttemptsContext,
	call: EntryCall,
	signal: AbortSignal,
): Promise<Outcome> {
	const attempts = createAttempts(context, call);
	let mayHaveRun = false;
	for (;;) {
		const ticket = createAttemptTicket({
			clock: context.clock,
			deadline: call.deadline,
			signal,
		});
		// eslint-disable-next-line no-await-in-loop -- one attempt after another.
		const outcome = await attempts.send(ticket, signal);
		if (outcome.kind === 'answered') {
			attempts.finish();
			return outcome;
		}

		// A later refusal does not cover an earlier attempt whose answer was lost,
		// so "not run" would be wrong for the request as a whole.
		mayHaveRun ||= outcome.kind === 'unknown';
		if (outcome.refusal.code === ErrorCode.Quarantined) {
			attempts.finish();
			return outcome;
		}

		// eslint-disable-next-line no-await-in-loop -- the back-off comes before the next attempt.
		const refusal = await attempts.retry(outcome.refusal, signal);
		if (refusal) {
			attempts.finish();
			return mayHaveRun ? createUnknownOutcome(refusal) : {...outcome, refusal};
		}
	}
}
