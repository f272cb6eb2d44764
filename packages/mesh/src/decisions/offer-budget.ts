/**
 * How often a target that declines work may be offered it again.
 *
 * Load pattern: the targets of a service turn away half of what they get, at
 * once and although they have room. A request that makes eight such calls is
 * then whole in one of 400 cases. A call that was declined has not run and can
 * be offered again right away, so with a few offers for each call most requests
 * are whole again; without a bound, targets that turn away everything would get
 * many times their load and never recover.
 *
 * The bound is on the arrivals beyond the first of each request, over all nodes
 * of a service. Only the node beside a target sees everything that its target
 * gets: first arrivals, those that another node sent again, and calls made by
 * work that is itself a repeat further up. So each such node keeps to the
 * bound for its own target alone, and the sum over the targets keeps to it
 * however the load is spread. The bound looks at spans of any position, and at
 * the requests of the span itself or of the one before, whichever has more.
 * Nodes can't know which that is over all of them, so each takes the same mean
 * of its two, which is within the larger sum for every spread. The one before
 * weighs more: while targets decline, less is let in than before.
 */

/** The bound for one target. */
export type OfferBudgetOptions = {
	/** Repeats allowed for each request. */
	ratio: number;
	/** Milliseconds of the span that the bound is about. */
	window: number;
};

/** The budget of one target. */
export type OfferBudget = {
	/** The target gets a request for the first time here; of it, the share from 0 to 1 is a repeat of work further up or elsewhere. */
	countArrival(repeatShare: number, now: number): void;
	/** Takes one more offer; false when none is left. The part from 0 to 1 is what may be spent of the bound. */
	take(part: number, now: number): boolean;
};

/** The part of the bound that is spent at a service that calls nothing; the rest is for what is not seen, such as an arrival in a neighbouring slot. */
export const leafOfferShare = 0.9;
/**
 * The part at a service that makes calls. The calls of a request that is run
 * by a repeated offer count as repeats further down, where the budget is worth
 * more: a leaf's repeat costs one run, one here a tree of them.
 */
export const nonLeafOfferShare = 0.25;

/** Slots in which a window is counted. */
const slotsPerWindow = 20;
/** The weight of the window before in the bound of one. */
const weightOfBefore = 0.75;
/**
 * How much faster than evenly over a window the budget may be spent. When all
 * targets begin to decline, nearly all work still comes; spent on it within a
 * second, nothing would be left for the important part that is still let in
 * once the rest is refused.
 */
const spendingPace = 1.25;
/** The part of a window whose share can be spent at once after a time without repeats. */
const burstPart = 0.05;
/** Offers that can always be spent at once, so that a target with little work has any. */
const leastBurst = 2;

type Slot = {index: number; requests: number; repeats: number};

/** Creates a budget of a target that has got nothing yet. */
export function createOfferBudget({
	ratio,
	window,
}: OfferBudgetOptions): OfferBudget {
	const slotTime = window / slotsPerWindow;
	/** The latest two windows, newest last. */
	let slots: Slot[] = [];

	const currentSlot = (now: number): Slot => {
		const index = Math.floor(now / slotTime);
		const last = slots.at(-1);
		if (last && last.index >= index) {
			return last;
		}

		const slot = {index, requests: 0, repeats: 0};
		slots = slots.filter((known) => known.index > index - 2 * slotsPerWindow);
		slots.push(slot);
		return slot;
	};

	const sumSince = (
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

	/** What a window that begins with the slot may hold in repeats, by what is known until now. */
	const boundOf = (start: number, part: number): number =>
		part *
		ratio *
		((1 - weightOfBefore) *
			sumSince(start, start + slotsPerWindow, 'requests') +
			weightOfBefore * sumSince(start - slotsPerWindow, start, 'requests'));

	/** Offers that the pace allows now. */
	let paced = leastBurst;
	let pacedAt = Number.NEGATIVE_INFINITY;
	const refill = (now: number, part: number) => {
		const bound = boundOf(currentSlot(now).index - slotsPerWindow + 1, part);
		const most = Math.max(leastBurst, burstPart * bound);
		const elapsed = Math.min(window, now - pacedAt);
		paced = Math.min(most, paced + (elapsed / window) * spendingPace * bound);
		pacedAt = now;
	};

	const isWithin = (index: number, part: number): boolean => {
		let repeats = 1;
		for (let start = index; start > index - slotsPerWindow; start--) {
			repeats += sumSince(start, start + 1, 'repeats');
			if (repeats > boundOf(start, part)) {
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
		take(part, now) {
			const slot = currentSlot(now);
			refill(now, part);
			if (paced < 1 || !isWithin(slot.index, part)) {
				return false;
			}

			paced--;
			slot.repeats++;
			return true;
		},
	};
}
