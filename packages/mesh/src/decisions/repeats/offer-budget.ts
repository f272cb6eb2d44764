/**
 * Bounds how often declined requests are offered to a target again.
 *
 * Load pattern: the targets of a service decline half of their requests, at
 * once and although they have room. A request that makes eight such calls then
 * succeeds in one of 400 cases. A declined call has not run, so a few immediate
 * offers per call let most requests succeed; but without a bound, targets that
 * decline everything would get many times their load and never recover.
 */

/**
 * The bound for one target. It limits arrivals beyond the first of each
 * request, over all nodes of a service. Only the target's node sees all of its
 * arrivals: first ones, retries by other nodes, and calls of requests that are
 * repeats themselves. So each node keeps the bound for its own target, and the
 * sum over the targets keeps it for every distribution of the load.
 */
export type OfferBudgetOptions = {
	/** Allowed repeats per request. */
	ratio: number;
	/** The length of the window to which the bound applies, in milliseconds. */
	window: number;
};

/** The budget of one target; times are in milliseconds of the steady clock. */
export type OfferBudget = {
	/** Records the first arrival of a request here; the given share of it, from 0 to 1, is a repeat of other work. */
	countArrival(repeatShare: number, now: number): void;
	/**
	 * Whether a request that a target has received before may run within the given
	 * share of the bound; counted on its arrival. So many in a window may run
	 * regardless.
	 */
	admits(share: number, now: number, allowed: number): boolean;
	/**
	 * Takes an offer from the budget, of which the given share, from 0 to 1, may be
	 * spent; false when it is exhausted. With a `kept` share, that part of what can
	 * be spent at once stays for others.
	 */
	take(share: number, now: number, kept?: number): boolean;
};

/**
 * The share of what can be spent at once that new requests leave to calls of
 * running work: a call that ends declined wastes the work of its whole request,
 * while a new request can return.
 */
export const keptForCalls = 0.5;

/** The share of the bound at a service that makes no calls; the rest covers repeats that are not seen, such as an arrival in a neighbouring slot. */
export const leafOfferShare = 0.9;
/**
 * The share of the bound at a service that makes calls. The calls of a repeated
 * request count as repeats at the services below, where the budget is worth
 * more: a repeat at a leaf costs one run, a repeat here a tree of runs.
 */
export const nonLeafOfferShare = 0.25;

/** Slots in which a window is counted. */
const slotsPerWindow = 20;
/**
 * The weight of the window before in the bound of a window. The bound applies
 * to windows at any position, and to the requests of the window itself or of
 * the one before, whichever has more. No node knows which that is over all
 * nodes, so each uses the same weighted mean of its two, which never exceeds
 * the larger sum. The window before weighs more: while targets decline, fewer
 * requests are admitted than before.
 */
const previousWindowWeight = 0.75;
/**
 * The maximum spending rate, as a multiple of an even rate over the window. When
 * all targets begin to decline, nearly all requests still arrive. If the budget
 * were spent on them within a second, nothing would be left for the important
 * requests that are still admitted once the others are refused.
 */
const maxSpendingRate = 1.25;
/** The fraction of a window's budget that can be spent at once after a time without repeats. */
const burstShare = 0.05;
/** The minimum number of offers that can be spent at once, so that a target with little load has any. */
const minBurst = 2;

type Slot = {index: number; requests: number; repeats: number};

/** Creates the budget of a target without arrivals. */
export function createOfferBudget({
	ratio,
	window,
}: OfferBudgetOptions): OfferBudget {
	const slotDuration = window / slotsPerWindow;
	/** The slots of the latest two windows, newest last. */
	let slots: Slot[] = [];

	const currentSlot = (now: number): Slot => {
		const index = Math.floor(now / slotDuration);
		const last = slots.at(-1);
		if (last && last.index >= index) {
			return last;
		}

		const slot = {index, requests: 0, repeats: 0};
		slots = slots.filter((known) => known.index > index - 2 * slotsPerWindow);
		slots.push(slot);
		return slot;
	};

	const sumBetween = (
		from: number,
		to: number,
		kind: 'requests' | 'repeats',
	): number => {
		let total = 0;
		for (const slot of slots) {
			total += slot.index >= from && slot.index < to ? slot[kind] : 0;
		}

		return total;
	};

	/** The maximum number of repeats in a window that begins with the slot, by the arrivals counted so far. */
	const boundOf = (start: number, share: number): number =>
		share *
		ratio *
		((1 - previousWindowWeight) *
			sumBetween(start, start + slotsPerWindow, 'requests') +
			previousWindowWeight *
				sumBetween(start - slotsPerWindow, start, 'requests'));

	/** Offers that the spending rate currently allows. */
	let available = minBurst;
	let max = minBurst;
	let refilledAt = Number.NEGATIVE_INFINITY;
	const refill = (now: number, share: number) => {
		const bound = boundOf(currentSlot(now).index - slotsPerWindow + 1, share);
		max = Math.max(minBurst, burstShare * bound);
		const elapsed = Math.min(window, now - refilledAt);
		available = Math.min(
			max,
			available + (elapsed / window) * maxSpendingRate * bound,
		);
		refilledAt = now;
	};

	const isWithinBound = (index: number, share: number): boolean => {
		let repeats = 1;
		for (let start = index; start > index - slotsPerWindow; start--) {
			repeats += sumBetween(start, start + 1, 'repeats');
			if (repeats > boundOf(start, share)) {
				return false;
			}
		}

		return true;
	};

	return {
		countArrival(repeatShare, now) {
			const slot = currentSlot(now);
			slot.requests += 1 - repeatShare;
			slot.repeats += repeatShare;
		},
		admits(share, now, allowed) {
			const {index} = currentSlot(now);
			return (
				sumBetween(index - slotsPerWindow + 1, index + 1, 'repeats') <
					allowed || isWithinBound(index, share)
			);
		},
		take(share, now, kept = 0) {
			const slot = currentSlot(now);
			refill(now, share);
			if (available < 1 + kept * max || !isWithinBound(slot.index, share)) {
				return false;
			}

			available--;
			slot.repeats++;
			return true;
		},
	};
}
