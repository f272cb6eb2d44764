/** Refusals that the entry node issues itself. */
import {
	admitUnknown,
	createHandOverTicket,
	createRefusal,
	refuseNotRun,
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
		.surrender()
		.match<Outcome>(
			(proof) => refuseNotRun(proof, refusal),
			() => admitUnknown(refusal),
		);
}

/**
 * Refuses as "unknown" an attempt at a key whose earlier attempts are not
 * recorded here. "Not run" would be true of this attempt only, but the user,
 * whose earlier attempt may have run, would take it for the whole request.
 */
export function refuseAsUnknown(code: ErrorCode, retryAfter?: number): Outcome {
	return admitUnknown(
		createRefusal(code, {...(retryAfter !== undefined && {retryAfter})}),
	);
}
