/**
 * What an entry may say of a key before its ledger was asked.
 *
 * What goes wrong without it: a payment ran and its answer was lost; its repeat
 * meets a node that is leaving, or can't reach its home, and is told "not run".
 * That is true of the repeat alone, but its user takes it for the payment. One
 * notices a "not run" in the caller's log and a row at the service. Only the
 * ledger of the key's home can say that no attempt has run.
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

/** Refusals that know about keys. */
export type KeyRefusals = {
	/** Says "not run" only where no earlier attempt at the key can have run. */
	refuse(
		incoming: CallerRequest,
		code: ErrorCode,
		retryAfter?: number,
	): Outcome;
	/** A repeat starts nothing new, so a node that takes no new work answers it. */
	isRepeatHere(incoming: CallerRequest): boolean;
	/** For a request whose key has its home here. */
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
