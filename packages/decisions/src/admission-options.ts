/** The switches of admission, with the replacements for switched-off mechanisms. */
import {requestClasses, type RequestClass} from '@egretspoke/protocol';
import {queueExpiry} from './admission-queue.js';
import {maxLevel} from './admission-level.js';
import {retryAfterTime, type BacklogState} from './retry-after-time.js';
import type {ConcurrencyLimit} from './concurrency-limit.js';
import {latestStart} from './deadline-feasibility.js';
import {downstreamLevel} from './downstream-levels.js';
import type {AdmissionContext, Mechanism} from './policy.js';

/** The retry-after time while `come-back-times` is switched off, in milliseconds. */
export const fixedRetryAfterTime = 250;

/** The behaviour of admission by switched-on mechanisms. */
export type AdmissionOptions = {
	/** The number of classes that are distinguished. */
	classes: number;
	hasQueueTime: boolean;
	hasFeasibility: boolean;
	hasFairShare: boolean;
	hasLongOperationLimit: boolean;
	hasCancellation: boolean;
	latestStart: typeof latestStart;
	queueExpiry: typeof queueExpiry;
	classOf(requestClass: RequestClass): RequestClass;
	limitOf(limit: ConcurrencyLimit): number;
	downstreamLevel(operation: string, now: number): number;
	retryAfterTime(backlog: BacklogState): number;
};

/** Reads the switched-off mechanisms once. */
export function createAdmissionOptions(
	context: AdmissionContext,
): AdmissionOptions {
	const {without, downstreamLevels, random} = context;
	const isEnabled = (mechanism: Mechanism) => !without?.has(mechanism);
	const options: AdmissionOptions = {
		classes: requestClasses.length,
		classOf: (requestClass) => requestClass,
		limitOf: ({limit}) => limit,
		hasQueueTime: isEnabled('queue-time'),
		hasFeasibility: isEnabled('deadline-feasibility'),
		hasFairShare: isEnabled('fair-share'),
		hasLongOperationLimit: isEnabled('long-among-short'),
		hasCancellation: isEnabled('cancellation'),
		latestStart,
		queueExpiry,
		downstreamLevel: (operation, now) =>
			downstreamLevels
				? downstreamLevel(downstreamLevels, operation, now)
				: maxLevel,
		retryAfterTime: (backlog) => retryAfterTime(backlog, random),
	};
	for (const mechanism of without ?? []) {
		Object.assign(options, replacements[mechanism]);
	}

	return options;
}

const replacements: Partial<Record<Mechanism, Partial<AdmissionOptions>>> = {
	classes: {classes: 1, classOf: () => 'essential'},
	'queue-time': {queueExpiry: (_rank, latest) => latest},
	'concurrency-limit': {limitOf: ({slots}) => slots},
	'deadline-feasibility': {latestStart: (deadline) => deadline},
	'upstream-refusal': {downstreamLevel: () => maxLevel},
	'come-back-times': {retryAfterTime: () => fixedRetryAfterTime},
};
