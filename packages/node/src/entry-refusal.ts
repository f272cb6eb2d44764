/** Refusals of attempts that never left this process. */
import {
	createUnknownOutcome,
	createHandOverTicket,
	createRefusal,
	createNotRunOutcome,
	type ErrorCode,
	type Outcome,
} from '@egretspoke/protocol';

/** Says "not run", with the proof of a ticket that never left this process. */
export function refuseHere(
	code: ErrorCode,
	retryAfter?: number,
	detail?: string,
): Outcome {
	const refusal = createRefusal(code, {
		...(retryAfter !== undefined && {retryAfter}),
		...(detail !== undefined && {detail}),
	});
	return createHandOverTicket()
		.revoke()
		.match<Outcome>(
			(proof) => createNotRunOutcome(proof, refusal),
			() => createUnknownOutcome(refusal),
		);
}

/**
 * Refuses an attempt at a key whose earlier attempts are not known here. "Not
 * run" would be true of this attempt alone, and its user, whose earlier attempt
 * may have run, would take it for the request.
 */
export function refuseUnknown(code: ErrorCode, retryAfter?: number): Outcome {
	return createUnknownOutcome(
		createRefusal(code, {...(retryAfter !== undefined && {retryAfter})}),
	);
}
