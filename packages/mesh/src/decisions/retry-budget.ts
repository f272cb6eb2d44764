/**
 * Bounds how often requests are sent to a target again, over all nodes.
 *
 * Load pattern: a service slows down or loses answers, and every node sends
 * its requests again. Each run of a request calls deeper services, so a second
 * run at one layer is a second run of the whole tree below it; without a bound
 * a service that has lost a few targets gets several times its load and stays
 * down after the cause has gone.
 *
 * No node can ask the others before it retries. So each one spends only a
 * share of the requests that itself has sent to the service in the window,
 * plus its part of the fixed allowance; the sum over the nodes is then within
 * the bound whatever the others do.
 *
 * In a large fleet a node's share is often less than one retry, and rounded
 * down by each node nobody would ever retry. So each node rounds at a point of
 * its own, drawn at random: the sum over the nodes is as it should be.
 */
import type {Random} from '@egretspoke/shared';

/** The bound for a service, over all nodes. */
export type RetryBudgetOptions = {
	/** Retries allowed for each request of the window. */
	ratio: number;
	/** Retries allowed in each window whatever the load, over all nodes. */
	allowance: number;
	/** Milliseconds. */
	window: number;
};

/** One node's part of the budget of each service. */
export type RetryBudget = {
	countRequest(service: string, now: number): void;
	/** Takes a retry from the budget, of which the part from 0 to 1 may be spent; false when there is none left. */
	take(service: string, now: number, nodes: number, part: number): boolean;
};

/**
 * The part of the bound that is spent on requests whose runs make calls. A
 * retry of such a request repeats the calls below it, which count there too:
 * with three services above the deepest one, what all of them repeat leaves it
 * half of its bound.
 */
export const nonLeafRetryShare = 0.15;
/** The part that is spent on requests whose runs make none: each repeat is one run. */
export const leafRetryShare = 0.45;

/** Slots in which a window is counted; the oldest leaves as a whole. */
const slotsPerWindow = 10;

type Counts = {
	requests: number[];
	retries: number[];
	slot: number;
	/** A last retry is allowed when the fractional part of the limit is above this, from 0 to 1. */
	rounding: number;
};

/** Creates the budgets of a node. */
export function createRetryBudget(
	options: RetryBudgetOptions,
	random: Random,
): RetryBudget {
	const slotTime = options.window / slotsPerWindow;
	const services = new Map<string, Counts>();

	const countsOf = (service: string, now: number): Counts => {
		let counts = services.get(service);
		const slot = Math.floor(now / slotTime);
		if (!counts) {
			counts = {
				requests: emptySlots(),
				retries: emptySlots(),
				slot,
				rounding: random.fraction(),
			};
			services.set(service, counts);
		}

		forget(counts, slot);
		return counts;
	};

	return {
		countRequest(service, now) {
			const counts = countsOf(service, now);
			counts.requests[counts.slot % slotsPerWindow]!++;
		},
		take(service, now, nodes, part) {
			const counts = countsOf(service, now);
			const limit =
				part *
				(options.ratio * sum(counts.requests) +
					options.allowance / Math.max(1, nodes));
			if (sum(counts.retries) + counts.rounding >= limit) {
				return false;
			}

			counts.retries[counts.slot % slotsPerWindow]!++;
			return true;
		},
	};
}

function emptySlots(): number[] {
	return Array.from({length: slotsPerWindow}, () => 0);
}

/** Empties the slots that have passed since the last look. */
function forget(counts: Counts, slot: number): void {
	const passed = Math.min(slotsPerWindow, slot - counts.slot);
	for (let index = 1; index <= passed; index++) {
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
