/**
 * The priority number of a request, which includes the fair share of its
 * caller.
 *
 * Load pattern: a few callers send most of the load. Without shares all
 * callers are refused in the same proportion: a caller that sends ten times
 * its share gets ten times what the others get, and those within their share
 * lose requests.
 *
 * Each request gets a position in its caller's recent demand by a hash of the
 * chain's id: the n requests of a caller are spread over 0 to n, essential
 * ones first, deferrable ones last. Positions up to the heavy count are
 * numbered by class: essential 0 to 127, normal 128 to 255, deferrable 256 to
 * 319, short operations before long ones. Positions above it are numbered 320
 * to 383, so that a level in this range cuts all heavy callers to the same
 * count and no other caller (max-min fairness as in core-stateless fair
 * queueing, Stoica et al., SIGCOMM 1998). Essential requests always keep their
 * class, so they yield to essential ones only.
 */
import {rankOf, type RequestClass} from '@egretspoke/protocol';
import {maxLevel, prioritiesPerClass} from './admission-level.js';
import {hashFraction} from './chain-hash.js';

/**
 * The time constant of the decay of counts, in milliseconds: after it a count
 * is at 1/e. Five seconds are long enough to include a caller of one request a
 * second.
 */
const memory = 5000;
/**
 * The maximum number of tracked callers, 1,024; further callers count as
 * ordinary and lose nothing.
 */
const callerLimit = 1024;
/** The heavy count is twice the median of the callers. */
const heavyFactor = 2;
/**
 * The heavy count is at least what random variation gives to a caller with the
 * median: two standard deviations of a Poisson count, plus two. Only the part
 * of a caller's requests above the heavy count is numbered last.
 */
const chanceDeviations = 2;
/** A caller below this count has sent nothing for several time constants. */
const minTrackedCount = 0.05;

/** The first priority number over the share, and the number of such numbers. */
const firstOverSharePriority = 320;
const overSharePriorityCount = maxLevel + 1 - firstOverSharePriority;
/** The doublings of the heavy count that these numbers span: ten numbers for each. */
const overShareDoublings = 6;

/** Priority numbers by class rank; the rest of the last class is for requests over the share. */
const classPriorityCounts = [
	prioritiesPerClass,
	prioritiesPerClass,
	prioritiesPerClass - overSharePriorityCount,
] as const;
/** The ratio of a class's numbers that short operations have. */
const shortRatio = 5 / 8;

type Rank = 0 | 1 | 2;

/** The recent requests of one caller by class rank, as decaying counts. */
type CallerDemand = {counts: [number, number, number]; total: number};

/** The demand of all callers. */
export type FairShare = {
	callers: Map<string, CallerDemand>;
	/** When the counts last decayed. */
	decayedAt: number;
	/** The count up to which a caller is within its share. */
	heavyCount: number;
	/** The largest count of a caller, up to the heavy count, by class rank. */
	largest: [number, number, number];
};

/** Creates an empty state. */
export function createFairShare(now: number): FairShare {
	return {
		callers: new Map(),
		decayedAt: now,
		heavyCount: Number.POSITIVE_INFINITY,
		largest: [0, 0, 0],
	};
}

/** The attributes from which a priority number is computed. */
export type PriorityInput = {
	requestClass: RequestClass;
	caller: string;
	/** The id of the chain. */
	chain: string;
	isLong: boolean;
};

/** Records a request in its caller's demand. */
export function recordDemand(
	state: FairShare,
	{caller, requestClass}: Pick<PriorityInput, 'caller' | 'requestClass'>,
): void {
	let demand = state.callers.get(caller);
	if (!demand) {
		if (state.callers.size >= callerLimit) {
			return;
		}

		demand = {counts: [0, 0, 0], total: 0};
		state.callers.set(caller, demand);
	}

	demand.counts[rankOf(requestClass) as Rank]++;
	demand.total++;
}

/**
 * Removes a refused request from its caller's demand, unless the caller is
 * heavy. Clients retry refused requests; counted each time, the retries would
 * make a light caller heavy after one refusal, and so cause further refusals.
 */
export function uncountDemand(
	state: FairShare,
	{caller, requestClass}: Pick<PriorityInput, 'caller' | 'requestClass'>,
): void {
	const demand = state.callers.get(caller);
	const rank = rankOf(requestClass) as Rank;
	if (demand && demand.total <= state.heavyCount && demand.counts[rank] >= 1) {
		demand.counts[rank]--;
		demand.total--;
	}
}

/** The request's priority number, from 0 (refused last) to 383. */
export function computePriority(
	state: FairShare,
	{caller, requestClass, chain, isLong}: PriorityInput,
): number {
	const rank = rankOf(requestClass) as Rank;
	const fraction = hashFraction(chain);
	const demand = state.callers.get(caller);
	if (!demand) {
		return priorityInClass(rank, fraction, isLong);
	}

	const place = placeOf(demand, rank, fraction);
	if (rank > 0 && place > state.heavyCount) {
		return priorityOverShare(place / state.heavyCount);
	}

	const largest = Math.max(1, state.largest[rank]);
	const share = Math.min(1, (fraction * demand.counts[rank]) / largest);
	return priorityInClass(rank, share, isLong);
}

/** Whether a request with this priority number is over its caller's share. */
export function isOverSharePriority(priority: number): boolean {
	return priority >= firstOverSharePriority;
}

/** Decays the counts and recomputes the heavy count. */
export function updateShares(state: FairShare, now: number): void {
	decay(state, now);
	state.heavyCount = findHeavyCount(state);
	state.largest = [0, 0, 0];
	for (const {counts} of state.callers.values()) {
		for (const rank of [0, 1, 2] as const) {
			const count = Math.min(counts[rank], state.heavyCount);
			state.largest[rank] = Math.max(state.largest[rank], count);
		}
	}
}

function findHeavyCount({callers}: FairShare): number {
	if (callers.size < 2) {
		return Number.POSITIVE_INFINITY;
	}

	const totals = Float64Array.from(callers.values(), ({total}) => total).sort();
	const median = totals[Math.floor((totals.length - 1) / 2)] ?? 0;
	return Math.max(
		heavyFactor * median,
		median + chanceDeviations * (Math.sqrt(median) + 1),
	);
}

/** The position in the caller's own order: essential, normal, deferrable. */
function placeOf({counts}: CallerDemand, rank: Rank, fraction: number): number {
	const before = counts[0] + (rank === 2 ? counts[1] : 0);
	return before + fraction * counts[rank];
}

function priorityInClass(rank: Rank, share: number, isLong: boolean): number {
	const part = isLong
		? shortRatio + share * (1 - shortRatio)
		: share * shortRatio;
	const numbers = classPriorityCounts[rank];
	return (
		rank * prioritiesPerClass +
		Math.min(numbers - 1, Math.floor(part * numbers))
	);
}

function priorityOverShare(multiple: number): number {
	const part = Math.log2(multiple) / overShareDoublings;
	return Math.min(
		maxLevel,
		firstOverSharePriority + Math.floor(part * overSharePriorityCount),
	);
}

function decay(state: FairShare, now: number): void {
	const factor = Math.exp((state.decayedAt - now) / memory);
	state.decayedAt = now;
	for (const [caller, demand] of state.callers) {
		for (const rank of [0, 1, 2] as const) {
			demand.counts[rank] *= factor;
		}

		demand.total *= factor;
		if (demand.total < minTrackedCount) {
			state.callers.delete(caller);
		}
	}
}
