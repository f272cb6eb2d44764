/**
 * The share of recent offers that a target declined, for the entry nodes.
 *
 * Load pattern: a target declines half of its offers, entry nodes therefore
 * admit few requests, and the target recovers. A ratio over a fixed number of
 * offers would keep its value until enough offers have come; one over a fixed
 * short time would be 0 as soon as few offers come, and everything would be
 * admitted again while the target still declines.
 */

/** The share; times are in milliseconds of the steady clock. */
export type DeclinedShare = {
	record(isDeclined: boolean, now: number): void;
	/** From 0 to 1. */
	value(now: number): number;
};

/** The duration of one slot, in milliseconds. */
const slotDuration = 100;
/** The slots after which offers no longer count: entry nodes must notice a recovery within a second. */
const slotCount = 10;
/** The number of latest offers that suffices: the standard deviation of a share of one half is 0.1 with 24. */
const sufficientOffers = 24;
/**
 * The minimum number of offers by which the declined ones are divided, so that
 * the share falls as the evidence expires, and a single declined offer at a
 * target with little load counts little.
 */
const minOffers = 5;

type Slot = {index: number; offers: number; declined: number};

/** Creates a share of 0. */
export function createDeclinedShare(): DeclinedShare {
	const slots = Array.from({length: slotCount}, (): Slot => ({
		index: -1,
		offers: 0,
		declined: 0,
	}));
	let lastDeclinedAt = Number.NEGATIVE_INFINITY;

	return {
		record(isDeclined, now) {
			const index = Math.floor(now / slotDuration);
			const slot = slots[index % slotCount]!;
			if (slot.index !== index) {
				slot.index = index;
				slot.offers = 0;
				slot.declined = 0;
			}

			slot.offers++;
			if (isDeclined) {
				slot.declined++;
				lastDeclinedAt = now;
			}
		},
		value(now) {
			if (now - lastDeclinedAt >= slotDuration * slotCount) {
				return 0;
			}

			const newest = Math.floor(now / slotDuration);
			let offers = 0;
			let declined = 0;
			for (
				let index = newest;
				index > newest - slotCount && offers < sufficientOffers;
				index--
			) {
				const slot = slots[index % slotCount];
				if (slot?.index === index) {
					offers += slot.offers;
					declined += slot.declined;
				}
			}

			return declined / Math.max(minOffers, offers);
		},
	};
}
