/**
 * Refusals at the entry that respect earlier attempts at the idempotency key.
 *
 * A payment runs and its answer is lost; its repeat reaches a node that is
 * leaving or cannot reach the home of the key, and is refused as "not run".
 * That is true of the repeat only, but the user takes it for the payment: the
 * caller's log shows "not run" and the service has a row. Only the ledger at
 * the key's home can prove that no attempt has run.
 */
import {
	formatHome,
	type CallRequest,
	type ErrorCode,
	type Home,
	type Outcome,
} from '@egretspoke/protocol';
import type {Ledger} from '@egretspoke/ledger';
import type {CallerRequest} from './caller-request.js';
import {refuseAsNotRun, refuseAsUnknown} from './entry-refusal.js';

type KeyFields = Pick<CallRequest, 'service' | 'key' | 'keyExpiry'>;

/** Refuses requests according to the earlier attempts at their keys. */
export type KeyRefusals = {
	/** Refuses as "not run" only if no earlier attempt at the key can have run, otherwise as "unknown". */
	refuse(
		incoming: CallerRequest,
		code: ErrorCode,
		retryAfter?: number,
	): Outcome;
	/**
	 * True for a repeat whose key has its home here. It starts no new work, so a
	 * node that refuses new work still answers it.
	 */
	isRepeatHere(incoming: CallerRequest): boolean;
	/** Whether an earlier attempt may have run, for a request whose key has its home here. */
	mayHaveRunHere(request: KeyFields): boolean;
};

/** Creates the refusals of one entry. */
export function createKeyRefusals(self: Home, ledger: Ledger): KeyRefusals {
	const hasHomeHere = ({home}: CallerRequest) =>
		home !== undefined && formatHome(home) === formatHome(self);

	const mayHaveRunHere = ({service, key, keyExpiry}: KeyFields) =>
		key !== undefined &&
		ledger.mayHaveRun({
			service,
			key,
			...(keyExpiry !== undefined && {expiry: keyExpiry}),
		});

	const isRepeatHere = (incoming: CallerRequest) =>
		hasHomeHere(incoming) && mayHaveRunHere(incoming);

	const isFirstAttempt = (incoming: CallerRequest) =>
		incoming.key === undefined ||
		incoming.home === undefined ||
		(hasHomeHere(incoming) && !isRepeatHere(incoming));

	return {
		mayHaveRunHere,
		isRepeatHere,
		refuse: (incoming, code, retryAfter) =>
			isFirstAttempt(incoming)
				? refuseAsNotRun(code, retryAfter)
				: refuseAsUnknown(code, retryAfter),
	};
}
