/**
 * The priority number of a request, and with it the fair share of its caller.
 *
 * Load pattern: a few callers or keys send most of the load. Without shares
 * every caller is refused in the same proportion, so that a caller which sends
 * ten times its share still gets ten times what the others get, and those
 * within their share lose requests; one notices many callers with a few
 * failures each, and one caller behind all of it.
 *
 * Each request gets a place within its caller's own demand, drawn from the
 * chain's name: a caller that sent n requests lately has them spread over 0 to
 * n, essential ones first, deferrable ones last. Places up to the heavy count
 * are numbered by class: essential 0 to 127, normal 128 to 255, deferrable 256
 * to 319, in each short operations before long ones. What lies above is
 * numbered 320 to 383 by its place alone, so that a level among these numbers
 * cuts all heavy callers down to the same count and nobody else (max-min
 * fairness, in the shape of core-stateless fair queueing, Stoica et al.,
 * SIGCOMM 1998). Essential work always keeps its class: it yields to essential
 * work only.
 *
 * Thresholds: counts forget with five seconds' time constant, so that a caller
 * of one request a second at this node is seen. The heavy count is twice the
 * median of the callers, and at least what chance gives to a caller with that
 * median (two standard deviations of a Poisson count, and two); by chance only
 * what is above it is put last, not all of the caller's requests. The table is
 * bounded at 1,024 callers; a caller that finds no place counts as ordinary,
 * so that it loses nothing.
 */
import {rankOf, type RequestClass} from '@egretspoke/protocol';
import {maxLevel, prioritiesPerClass} from './admission-level.js';
import {hashFraction} from './chain-hash.js';

/** Milliseconds after which a count is down to 1/e. */
const memory = 5000;
const callerLimit = 1024;
const heavyFactor = 2;
const chanceDeviations = 2;
/** A caller below this count has been silent for several time constants. */
const minTrackedCount = 0.05;

/** The first number of what is above its caller's share, and how many such numbers there are. */
const firstOverSharePriority = 320;
const overSharePriorityCount = maxLevel + 1 - firstOverSharePriority;
/** Doublings of the heavy count that these numbers span: ten numbers for each. */
const overShareDoublings = 6;

/** Numbers for the classes, by rank; the rest of the last class is for what is over a share. */
const classPriorityCounts = [
	prioritiesPerClass,
	prioritiesPerClass,
	prioritiesPerClass - overSharePriorityCount,
] as const;
/** The part of a class's numbers that short operations have. */
const shortRatio = 5 / 8;

type Rank = 0 | 1 | 2;

/** What one caller sent lately, by class rank; counts that decay. */
type CallerDemand = {counts: [number, number, number]; total: number};

/** The demand of all callers. */
export type FairShare = {
	callers: Map<string, CallerDemand>;
	/** When the counts were decayed last. */
	decayedAt: number;
	/** The count up to which a caller is within its share. */
	heavyCount: number;
	/** The largest count by class rank of a caller within its share. */
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

/** What a priority number is made from. */
export type PriorityInput = {
	requestClass: RequestClass;
	caller: string;
	/** The chain's name. */
	chain: string;
	isLong: boolean;
};

/** Counts the request for its caller. */
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
 * Takes the count of a refused request back, unless its caller is heavy. Each
 * refusal brings tries of the same request; counted, they would make a light
 * caller that was refused once heavy, and so refused again.
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

/** The request's priority number, from 0 (the last to be refused) to 383. */
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

/** Whether the number says that the request is above its caller's share. */
export function isOverSharePriority(priority: number): boolean {
	return priority >= firstOverSharePriority;
}

/** Lets the counts decay, and works out anew which count is heavy. */
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

/** The place in the caller's own order: essential, normal, deferrable. */
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
