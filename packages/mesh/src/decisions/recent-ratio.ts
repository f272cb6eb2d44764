/**
 * The share of the latest requests of which something holds, for controls.
 *
 * Load pattern: a target turns away half of its work for seconds and is then
 * well again, while entries let hardly anything in. A moving average over a
 * number of requests goes on telling of the bad seconds until as many good
 * requests have come, and nobody lets them come. So only the last moments
 * count, and few requests say nothing.
 */

/** The share. */
export type RecentRatio = {
	record(holds: boolean, now: number): void;
	/** From 0 to 1; 0 when too little happened lately. */
	value(now: number): number;
};

/** Milliseconds of one slot. */
const slotTime = 100;
/** Slots that count. */
const slotCount = 3;
/** Requests that say nothing yet. */
const leastRequests = 5;

type Slot = {index: number; requests: number; holding: number};

/** Creates a share of 0. */
export function createRecentRatio(): RecentRatio {
	const slots = Array.from({length: slotCount}, (): Slot => ({
		index: -1,
		requests: 0,
		holding: 0,
	}));

	return {
		record(holds, now) {
			const index = Math.floor(now / slotTime);
			const slot = slots[index % slotCount]!;
			if (slot.index !== index) {
				slot.index = index;
				slot.requests = 0;
				slot.holding = 0;
			}

			slot.requests++;
			slot.holding += holds ? 1 : 0;
		},
		value(now) {
			const oldest = Math.floor(now / slotTime) - slotCount;
			let requests = 0;
			let holding = 0;
			for (const slot of slots) {
				if (slot.index > oldest) {
					requests += slot.requests;
					holding += slot.holding;
				}
			}

			return requests < leastRequests ? 0 : holding / requests;
		},
	};
}
