/**
 * How long a message was held up on its way, without a common clock.
 *
 * Load pattern: a link that is squeezed, or a node that gets too little
 * processor time. A request says how much time it has left when it is sent;
 * held up for a second, it would be given to the target with time that its
 * caller no longer has, and run for nobody. So each message says when it was
 * sent by the sender's clock. The least difference to the receiver's clock in
 * the last seconds is that of a message that came straight; what is above it
 * is delay.
 */

/** The delays of one link. */
export type TransitDelay = {
	/** Milliseconds beyond the shortest way, both times by steady clocks of their own. */
	measure(sentAt: number, receivedAt: number): number;
};

/**
 * Milliseconds in which the least difference is looked for. A node that was
 * suspended has a clock that has fallen behind, and all that it sends seems
 * late until this has passed twice.
 */
const periodTime = 2500;

/** Creates the delays of a link that has carried nothing. */
export function createTransitDelay(): TransitDelay {
	let periodStart = Number.NEGATIVE_INFINITY;
	let least = Number.POSITIVE_INFINITY;
	let leastBefore = Number.POSITIVE_INFINITY;
	return {
		measure(sentAt, receivedAt) {
			const difference = receivedAt - sentAt;
			if (receivedAt - periodStart > periodTime) {
				periodStart = receivedAt;
				leastBefore = least;
				least = difference;
			}

			least = Math.min(least, difference);
			return difference - Math.min(least, leastBefore);
		},
	};
}
