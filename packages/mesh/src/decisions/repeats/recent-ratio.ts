/**
 * The ratio of recent requests for which a condition holds, for a control loop.
 *
 * Load pattern: a target declines half of its work for some seconds and then
 * recovers, while entry nodes admit hardly any requests. A moving average over
 * a number of requests would keep the old value until enough successful
 * requests have replaced the failed ones, and these aren't admitted. So only a
 * short time window counts.
 */

/** The ratio; times are in milliseconds of the steady clock. */
export type RecentRatio = {
	/** Records a request and whether the condition holds for it. */
	record(holds: boolean, now: number): void;
	/** From 0 to 1; 0 when the window has too few requests. */
	value(now: number): number;
};

/** The duration of one slot, in milliseconds. */
const slotDuration = 100;
/** Slots in the window. */
const slotCount = 3;
/** The minimum number of requests for a ratio; fewer give a ratio of 0. */
const minRequests = 5;

type Slot = {index: number; requests: number; matching: number};

/** Creates a ratio of 0. */
export function createRecentRatio(): RecentRatio {
	const slots = Array.from({length: slotCount}, (): Slot => ({
		index: -1,
		requests: 0,
		matching: 0,
	}));

	return {
		record(holds, now) {
			const index = Math.floor(now / slotDuration);
			const slot = slots[index % slotCount]!;
			if (slot.index !== index) {
				slot.index = index;
				slot.requests = 0;
				slot.matching = 0;
			}

			slot.requests++;
			slot.matching += holds ? 1 : 0;
		},
		value(now) {
			const oldest = Math.floor(now / slotDuration) - slotCount;
			let requests = 0;
			let matching = 0;
			for (const slot of slots) {
				if (slot.index > oldest) {
					requests += slot.requests;
					matching += slot.matching;
				}
			}

			return requests < minRequests ? 0 : matching / requests;
		},
	};
}
