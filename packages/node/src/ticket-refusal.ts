/** Refusals of requests whose hand-over ticket is in hand. */
import {
	createUnknownOutcome,
	createRefusal,
	createNotRunOutcome,
	type ErrorCode,
	type HandOverTicket,
	type Outcome,
} from '@egretspoke/protocol';

/** Why, in a sentence and in time. */
export type RefusalReason = {
	code: ErrorCode;
	/** The message of the code when absent. */
	reason?: string;
	/** Milliseconds. */
	retryAfter: number;
};

/** Says "not run" if the ticket still proves it, and "unknown" if it doesn't. */
export function refuseTicket(
	ticket: Pick<HandOverTicket, 'revoke'>,
	{code, reason, retryAfter}: RefusalReason,
): Outcome {
	const refusal = createRefusal(code, {
		retryAfter,
		...(reason !== undefined && {detail: reason}),
	});
	return ticket.revoke().match<Outcome>(
		(proof) => createNotRunOutcome(proof, refusal),
		() => createUnknownOutcome(refusal),
	);
}
