/** Refusals that the entry node issues itself. */
import {
	createUnknownOutcome,
	createHandOverTicket,
	createRefusal,
	createNotRunOutcome,
	type ErrorCode,
	type Outcome,
} from '@egretspoke/protocol';

/** Refuses as "not run". The proof is a ticket that never left this process. */
export function refuseAsNotRun(
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
 * Refuses as "unknown" an attempt at a key whose earlier attempts are not
 * recorded here. "Not run" would be true of this attempt only, but the user,
 * whose earlier attempt may have run, would take it for the whole request.
 */
export function refuseAsUnknown(code: ErrorCode, retryAfter?: number): Outcome {
	return createUnknownOutcome(
		createRefusal(code, {...(retryAfter !== undefined && {retryAfter})}),
	);
}
