/** What the admission makes of an arriving request: its class, whether it is long, its priority. */
import {rankOf} from '@egretspoke/protocol';
import {highestEssential} from './admission-level.js';
import type {AdmissionOptions} from './admission-options.js';
import {noteDemand, numberRequest, type FairShare} from './fair-share.js';
import {isLongDuration} from './long-among-short.js';
import {
	expectDuration,
	typicalDuration,
	type OperationDurations,
} from './operation-durations.js';
import type {CallFacts} from './policy.js';
import type {SlotEntry} from './slot-table.js';

/** The slot time assumed while nothing has been learnt, in milliseconds. */
export const unknownDuration = 10;

/** A request with what the decisions are made by. */
export type NumberedRequest = SlotEntry & {
	/** The expected duration in milliseconds; 0 while nothing is known. */
	expected: number;
	/** The slot time that it will take. */
	slotTime: number;
};

/** Numbers a request; the number that the chain carries goes before one of our own. */
export function numberArrival(
	call: CallFacts,
	options: AdmissionOptions,
	durations: OperationDurations,
	shares: FairShare,
): NumberedRequest {
	const requestClass = options.classOf(call.requestClass);
	const expected = expectDuration(durations, call.operation);
	const isLong =
		options.hasLongAmongShort &&
		isLongDuration(expected, typicalDuration(durations));
	return {
		call,
		rank: rankOf(requestClass),
		isLong,
		expected,
		slotTime: expected || unknownDuration,
		priority:
			call.priority === undefined
				? numberAnew({...call, requestClass}, isLong, options, shares)
				: keepInClass(call.priority, requestClass === 'essential'),
	};
}

function numberAnew(
	{id, requestClass, caller, chain = id}: CallFacts,
	isLong: boolean,
	options: AdmissionOptions,
	shares: FairShare,
): number {
	if (options.hasFairShare) {
		noteDemand(shares, {caller, requestClass});
	}

	return numberRequest(shares, {requestClass, caller, chain, isLong});
}

function keepInClass(priority: number, isEssential: boolean): number {
	return isEssential ? Math.min(priority, highestEssential) : priority;
}
