/** Refuses requests according to their hand-over tickets. */
import {
	createUnknownOutcome,
	createRefusal,
	createNotRunOutcome,
	type ErrorCode,
	type HandOverTicket,
	type Outcome,
} from '@egretspoke/protocol';

/** The reason of a refusal and its Retry-After. */
export type RefusalReason = {
	code: ErrorCode;
	/** The message of the code when absent. */
	reason?: string;
	/** Milliseconds. */
	retryAfter: number;
};

/** Refuses as "not run" if the ticket still proves it, otherwise as "unknown". */
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
