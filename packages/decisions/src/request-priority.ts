/** Classifies an arriving request: its class, whether it is long, and its priority number. */
import {rankOf} from '@egretspoke/protocol';
import {maxEssentialPriority} from './admission-level.js';
import type {AdmissionOptions} from './admission-options.js';
import {computePriority, recordDemand, type FairShare} from './fair-share.js';
import {isLongDuration} from './long-operation-limit.js';
import {
	expectedDuration,
	typicalDuration,
	type OperationDurations,
} from './operation-durations.js';
import type {CallFacts} from './policy.js';
import type {SlotEntry} from './slot-table.js';

/** The assumed slot time while no duration is recorded, in milliseconds. */
export const defaultDuration = 10;

/** A request with the attributes used by the decisions. */
export type PrioritizedRequest = SlotEntry & {
	/** The expected duration in milliseconds; 0 while nothing is known. */
	expected: number;
	/** The expected slot time, in milliseconds. */
	slotTime: number;
};

/** Assigns the priority number; a number that the chain already carries takes precedence. */
export function prioritizeRequest(
	call: CallFacts,
	options: AdmissionOptions,
	durations: OperationDurations,
	shares: FairShare,
): PrioritizedRequest {
	const requestClass = options.classOf(call.requestClass);
	const expected = expectedDuration(durations, call.operation);
	const isLong =
		options.hasLongOperationLimit &&
		isLongDuration(expected, typicalDuration(durations));
	return {
		call,
		rank: rankOf(requestClass),
		isLong,
		expected,
		slotTime: expected || defaultDuration,
		priority:
			call.priority === undefined
				? assignPriority({...call, requestClass}, isLong, options, shares)
				: limitToClass(call.priority, requestClass === 'essential'),
	};
}

function assignPriority(
	{id, requestClass, caller, chain = id}: CallFacts,
	isLong: boolean,
	options: AdmissionOptions,
	shares: FairShare,
): number {
	if (options.hasFairShare) {
		recordDemand(shares, {caller, requestClass});
	}

	return computePriority(shares, {requestClass, caller, chain, isLong});
}

function limitToClass(priority: number, isEssential: boolean): number {
	return isEssential ? Math.min(priority, maxEssentialPriority) : priority;
}
