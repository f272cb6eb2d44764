/**
 * Bounds how often requests are retried, over all nodes.
 *
 * Load pattern: a service slows down or loses answers, and every node retries
 * its requests. A retry repeats the whole tree of calls below it, so without a
 * bound a service that has lost a few targets gets several times its load and
 * stays down after the cause has gone.
 */
import type {Random} from '@egretspoke/shared';

/** The bound for a service, over all nodes. */
export type RetryBudgetOptions = {
	/** Allowed retries per request within the window. */
	ratio: number;
	/** Retries allowed within each window regardless of load, over all nodes. */
	allowance: number;
	/** The length of the window, in milliseconds. */
	window: number;
};

/** One node's budget for each service; times are in milliseconds of the steady clock. */
export type RetryBudget = {
	countRequest(service: string, now: number): void;
	/** Takes a retry from the budget, of which the given share, from 0 to 1, may be spent; false when it is exhausted. */
	take(service: string, now: number, nodes: number, share: number): boolean;
};

/**
 * The share of the bound for requests that make further calls. A retry of such
 * a request repeats the calls below it, and these repeats count at the services
 * below too: with three services above the deepest one, the repeats of all
 * three leave it half of its bound.
 */
export const nonLeafRetryShare = 0.15;
/** The share of the bound for requests that make no calls: each retry is a single run. */
export const leafRetryShare = 0.45;

/** Slots in which a window is counted; the oldest slot expires as a whole. */
const slotsPerWindow = 10;

type Counts = {
	requests: number[];
	retries: number[];
	slot: number;
	/**
	 * A last, fractional retry is allowed when the fractional part of the limit
	 * exceeds this random threshold, from 0 to 1. In a large fleet the limit of
	 * a node is often below one retry: always rounding down would prevent all
	 * retries, while random thresholds keep the expected sum correct.
	 */
	roundingThreshold: number;
};

/**
 * Creates the retry budgets of a node, one for each service. Nodes can't
 * coordinate before each retry. So each one limits its retries to a ratio of
 * the requests that it sent to the service within the window, plus its part of
 * a fixed allowance; the sum over all nodes then keeps the bound.
 */
export function createRetryBudget(
	options: RetryBudgetOptions,
	random: Random,
): RetryBudget {
	const slotDuration = options.window / slotsPerWindow;
	const services = new Map<string, Counts>();

	const countsOf = (service: string, now: number): Counts => {
		let counts = services.get(service);
		const slot = Math.floor(now / slotDuration);
		if (!counts) {
			counts = {
				requests: createSlots(),
				retries: createSlots(),
				slot,
				roundingThreshold: random.fraction(),
			};
			services.set(service, counts);
		}

		expireSlots(counts, slot);
		return counts;
	};

	return {
		countRequest(service, now) {
			const counts = countsOf(service, now);
			counts.requests[counts.slot % slotsPerWindow]!++;
		},
		take(service, now, nodes, share) {
			const counts = countsOf(service, now);
			const limit =
				share *
				(options.ratio * sum(counts.requests) +
					options.allowance / Math.max(1, nodes));
			if (sum(counts.retries) + counts.roundingThreshold >= limit) {
				return false;
			}

			counts.retries[counts.slot % slotsPerWindow]!++;
			return true;
		},
	};
}

function createSlots(): number[] {
	return Array.from({length: slotsPerWindow}, () => 0);
}

/** Resets the slots that have expired since the last update. */
function expireSlots(counts: Counts, slot: number): void {
	const expired = Math.min(slotsPerWindow, slot - counts.slot);
	for (let index = 1; index <= expired; index++) {
		const position = (counts.slot + index) % slotsPerWindow;
		counts.requests[position] = 0;
		counts.retries[position] = 0;
	}

	counts.slot = Math.max(counts.slot, slot);
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
