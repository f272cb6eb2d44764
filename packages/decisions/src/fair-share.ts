/**
 * The priority number of a request, and with it the fair share of its caller.
 *
 * Load pattern: a few callers or keys send most of the load. Without shares
 * every caller is refused in the same proportion, so that a caller which sends
 * ten times its share still gets ten times what the others get, and those
 * within their share lose requests; one notices many callers with a few
 * failures each, and one caller behind all of it.
 *
 * Here each request gets a place within its caller's own demand, drawn from
 * the chain's name: a caller of rate r has its requests spread over 0 to r. Up
 * to the rate at which everybody's demand fits the capacity a place is within
 * the fair share; that rate is found by filling (max-min fairness), from the
 * part of the demand that is let in now. The places are then numbered within
 * the class: essential 0 to 127, normal 128 to 255, deferrable from 256; long
 * operations after short ones; and what heavy callers send above their share
 * last of all. Essential work is never put last: it only yields to essential
 * work. (Core-stateless fair queueing, Stoica et al., SIGCOMM 1998, has the
 * same shape: drop by the ratio of the fair rate to the caller's own.)
 *
 * Thresholds: rates forget with two seconds' time constant, so that a caller
 * of a few requests a second is seen; a caller counts as heavy at twice the
 * average rate, which one of equal callers doesn't reach by chance; the table
 * is bounded at 1,024 callers, and a caller that finds no place counts as
 * average, so that it loses nothing.
 */
import {rankOf, type RequestClass} from '@egretspoke/protocol';
import {highestLevel, sharesPerClass} from './admission-level.js';

/** Milliseconds after which a count is down to 1/e. */
const memory = 2000;
const callerLimit = 1024;
const heavyFactor = 2;
/** A caller below this count has been silent for several time constants. */
const forgottenCount = 0.05;
const fillRounds = 20;

/** Where in its class's 128 numbers a kind of request goes. */
const bands = {
	short: {first: 0, last: 79},
	long: {first: 80, last: 111},
	overShare: {first: 112, last: 127},
} as const;

/** What one caller sent lately, by class rank; counts that decay. */
type CallerDemand = {counts: [number, number, number]; total: number};

/** The demand of all callers and what follows from it. */
export type FairShare = {
	callers: Map<string, CallerDemand>;
	/** When the counts were decayed last. */
	decayedAt: number;
	/** The count above which a caller is heavy; infinite while nothing is refused. */
	heavyCount: number;
	/** The count up to which every caller's demand is let in. */
	fairCount: number;
	/** The largest count of any caller by class rank, for the numbering. */
	largest: [number, number, number];
};

/** Creates an empty state. */
export function createFairShare(now: number): FairShare {
	return {
		callers: new Map(),
		decayedAt: now,
		heavyCount: Number.POSITIVE_INFINITY,
		fairCount: Number.POSITIVE_INFINITY,
		largest: [0, 0, 0],
	};
}

/** What a priority number is made from. */
export type PriorityFacts = {
	requestClass: RequestClass;
	caller: string;
	/** The chain's fraction, from 0 to 1. */
	fraction: number;
	isLong: boolean;
};

/** Counts the request for its caller. */
export function noteDemand(
	state: FairShare,
	{caller, requestClass}: PriorityFacts,
): void {
	let demand = state.callers.get(caller);
	if (!demand) {
		if (state.callers.size >= callerLimit) {
			return;
		}

		demand = {counts: [0, 0, 0], total: 0};
		state.callers.set(caller, demand);
	}

	demand.counts[rankOf(requestClass) as 0 | 1 | 2]++;
	demand.total++;
}

/** The request's priority number, from 0 (the last to be refused) to 383. */
export function numberRequest(
	state: FairShare,
	{caller, requestClass, fraction, isLong}: PriorityFacts,
): number {
	const rank = rankOf(requestClass) as 0 | 1 | 2;
	const demand = state.callers.get(caller);
	if (rank > 0 && demand && isOverShare(state, demand, rank, fraction)) {
		const excess = 1 - state.fairCount / demand.total;
		return numberIn('overShare', 2, Math.max(0, excess) * fraction);
	}

	const place =
		demand && state.largest[rank] > 0
			? placeOf(demand, rank, fraction) / state.largest[rank]
			: fraction;
	return numberIn(isLong ? 'long' : 'short', rank, place);
}

/** Whether the number says that the request is above its caller's share. */
export function isOverShareNumber(priority: number): boolean {
	return priority >= 2 * sharesPerClass + bands.overShare.first;
}

/** Works out the fair rate anew; `letIn` is the share of the demand that is let in. */
export function settleShares(
	state: FairShare,
	letIn: number,
	now: number,
): void {
	decay(state, now);
	const totals = [...state.callers.values()].map(({total}) => total);
	const sum = totals.reduce((left, right) => left + right, 0);
	state.largest = [0, 0, 0];
	for (const {counts} of state.callers.values()) {
		for (const rank of [0, 1, 2] as const) {
			state.largest[rank] = Math.max(state.largest[rank], counts[rank]);
		}
	}

	const isEnough = letIn >= 1 || totals.length < 2;
	state.fairCount = isEnough
		? Number.POSITIVE_INFINITY
		: fillUpTo(totals, sum * letIn);
	state.heavyCount = isEnough
		? Number.POSITIVE_INFINITY
		: (heavyFactor * sum) / totals.length;
}

/** A heavy caller's own order is essential, normal, deferrable; what lies beyond the fair count is over. */
function isOverShare(
	state: FairShare,
	demand: CallerDemand,
	rank: 0 | 1 | 2,
	fraction: number,
): boolean {
	if (demand.total <= state.heavyCount) {
		return false;
	}

	const before = demand.counts[0] + (rank === 2 ? demand.counts[1] : 0);
	return before + fraction * demand.counts[rank] > state.fairCount;
}

function placeOf(
	demand: CallerDemand,
	rank: 0 | 1 | 2,
	fraction: number,
): number {
	return fraction * demand.counts[rank];
}

function numberIn(
	band: keyof typeof bands,
	rank: number,
	place: number,
): number {
	const {first, last} = bands[band];
	const share = first + Math.floor(Math.min(place, 1) * (last - first + 1));
	return Math.min(highestLevel, rank * sharesPerClass + Math.min(last, share));
}

/** The count c for which the sum of min(count, c) is the capacity. */
function fillUpTo(totals: number[], capacity: number): number {
	let low = 0;
	let high = Math.max(0, ...totals);
	for (let round = 0; round < fillRounds; round++) {
		const middle = (low + high) / 2;
		const filled = totals.reduce(
			(sum, total) => sum + Math.min(total, middle),
			0,
		);
		if (filled > capacity) {
			high = middle;
		} else {
			low = middle;
		}
	}

	return high;
}

function decay(state: FairShare, now: number): void {
	const factor = Math.exp((state.decayedAt - now) / memory);
	state.decayedAt = now;
	for (const [caller, demand] of state.callers) {
		demand.counts = demand.counts.map((count) => count * factor) as [
			number,
			number,
			number,
		];
		demand.total *= factor;
		if (demand.total < forgottenCount) {
			state.callers.delete(caller);
		}
	}
}
