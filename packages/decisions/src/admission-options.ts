/** What the switched-off mechanisms are replaced by, as lookup tables. */
import {requestClasses, type RequestClass} from '@egretspoke/protocol';
import {patienceOf} from './admission-queue.js';
import {highestLevel} from './admission-level.js';
import {retryAfterTime, type BacklogState} from './retry-after-time.js';
import type {ConcurrencyLimit} from './concurrency-limit.js';
import {latestStart} from './deadline-feasibility.js';
import {downstreamLevel} from './downstream-levels.js';
import type {AdmissionContext, Mechanism} from './policy.js';

/** What every caller is told while come-back times are switched off, in milliseconds. */
export const fixedComeBackTime = 250;

/** The admission's behaviour, by what is switched on. */
export type AdmissionOptions = {
	/** Classes that are told apart. */
	classes: number;
	hasQueueTime: boolean;
	hasFeasibility: boolean;
	hasFairShare: boolean;
	hasLongAmongShort: boolean;
	hasCancellation: boolean;
	latestStart: typeof latestStart;
	patienceOf: typeof patienceOf;
	classOf(requestClass: RequestClass): RequestClass;
	limitOf(limit: ConcurrencyLimit): number;
	levelBelow(operation: string, now: number): number;
	comeBack(backlog: BacklogState): number;
};

/** Reads the context's switches once. */
export function createAdmissionOptions(
	context: AdmissionContext,
): AdmissionOptions {
	const {without, downstreamLevels: below, random} = context;
	const isOn = (mechanism: Mechanism) => !without?.has(mechanism);
	const options: AdmissionOptions = {
		classes: requestClasses.length,
		classOf: (requestClass) => requestClass,
		limitOf: ({limit}) => limit,
		hasQueueTime: isOn('queue-time'),
		hasFeasibility: isOn('deadline-feasibility'),
		hasFairShare: isOn('fair-share'),
		hasLongAmongShort: isOn('long-among-short'),
		hasCancellation: isOn('cancellation'),
		latestStart,
		patienceOf,
		levelBelow: (operation, now) =>
			below ? downstreamLevel(below, operation, now) : highestLevel,
		comeBack: (backlog) => retryAfterTime(backlog, random),
	};
	for (const mechanism of without ?? []) {
		Object.assign(options, replacements[mechanism]);
	}

	return options;
}

const replacements: Partial<Record<Mechanism, Partial<AdmissionOptions>>> = {
	classes: {classes: 1, classOf: () => 'essential'},
	'queue-time': {patienceOf: (_rank, latest) => latest},
	'concurrency-limit': {limitOf: ({slots}) => slots},
	'deadline-feasibility': {latestStart: (deadline) => deadline},
	'upstream-refusal': {levelBelow: () => highestLevel},
	'come-back-times': {comeBack: () => fixedComeBackTime},
};
