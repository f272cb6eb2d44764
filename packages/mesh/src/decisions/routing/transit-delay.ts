/**
 * Measures how long a message was delayed in transit, without a common clock.
 *
 * Load pattern: a throttled link, or a node that gets too little processor
 * time. A request carries the time that it had left when it was sent; after a
 * delay of a second, its target would run it although its caller no longer
 * waits. So each message carries its sending time by the sender's clock.
 */

/** The delays of one link. */
export type TransitDelay = {
	/**
	 * Returns the delay in milliseconds; each time is by the steady clock of
	 * its own node. The minimum difference of the two clocks over the last
	 * seconds is that of a message without delay; whatever exceeds it is delay.
	 */
	measure(sentAt: number, receivedAt: number): number;
};

/**
 * The window of the minimum, in milliseconds. The clock of a node that was
 * suspended falls behind, and all its messages seem late until two windows have
 * passed.
 */
const windowDuration = 2500;

/** Creates the delays of a link without messages. */
export function createTransitDelay(): TransitDelay {
	let windowStart = Number.NEGATIVE_INFINITY;
	let minimum = Number.POSITIVE_INFINITY;
	let previousMinimum = Number.POSITIVE_INFINITY;
	return {
		measure(sentAt, receivedAt) {
			const difference = receivedAt - sentAt;
			if (receivedAt - windowStart > windowDuration) {
				windowStart = receivedAt;
				previousMinimum = minimum;
				minimum = difference;
			}

			minimum = Math.min(minimum, difference);
			return difference - Math.min(minimum, previousMinimum);
		},
	};
}
