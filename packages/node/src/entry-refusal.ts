/** Refusals of requests that never left this process. */
import {
	admitUnknown,
	createHandOverTicket,
	createRefusal,
	refuseNotRun,
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
		.surrender()
		.match<Outcome>(
			(proof) => refuseNotRun(proof, refusal),
			() => admitUnknown(refusal),
		);
}
