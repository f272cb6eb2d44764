/**
 * Paces the requests to one target within the rate that it accepts.
 *
 * Load pattern: a target in need accepts far fewer requests a second than it
 * has slots for. Its concurrency limit doesn't protect it: the faster it
 * answers, the more it gets. So a token bucket counts every request that it is
 * handed, repeats included. It holds few tokens, because a target in need gains
 * nothing from a quiet moment before a burst.
 */

/** The rate limit of one target; times are in milliseconds of the steady clock. */
export type RateLimiter = {
	/** Sets the requests per second; infinite without a limit. */
	setLimit(perSecond: number, now: number): void;
	/** Requests per second that are handed over at most, infinite without a limit. */
	perSecond(): number;
	/** Milliseconds until the target may get the next request. */
	waitTime(now: number): number;
	/** Counts a request that the target gets. */
	take(now: number): void;
	/** The use of the requests that accumulate while none are sent: 0 when all are left, 1 when only the next request is. */
	occupancy(now: number): number;
};

/** The time for which unused requests accumulate, in milliseconds. */
const burstDuration = 300;
/** The minimum number of requests that accumulate beyond the next one. */
const minBurst = 0.3;
/**
 * The minimum rate, in requests per second. The end of a limit shows only in an
 * answer, so a target that accepts nothing still gets a request now and then.
 */
const minRequestRate = 0.2;
const millisecondsPerSecond = 1000;

/** The requests beyond the next one that a target with this limit may get at once. */
export function burstOf(perSecond: number): number {
	return Math.max(
		minBurst,
		(perSecond * burstDuration) / millisecondsPerSecond,
	);
}

/** Creates a limiter without a limit. */
export function createRateLimiter(): RateLimiter {
	let rate = Number.POSITIVE_INFINITY;
	let tokens = 0;
	let filledAt = 0;

	const isUnlimited = () => rate === Number.POSITIVE_INFINITY;

	const fill = (now: number): number => {
		const elapsed = (now - filledAt) / millisecondsPerSecond;
		tokens = Math.min(1 + burstOf(rate), tokens + elapsed * rate);
		filledAt = now;
		return tokens;
	};

	return {
		setLimit(perSecond, now) {
			// A target that has just named a limit has already got what it can bear.
			const current = isUnlimited() ? 0 : fill(now);
			rate = Math.max(minRequestRate, perSecond);
			tokens = Math.min(current, 1 + burstOf(rate));
			filledAt = now;
		},
		perSecond: () => rate,
		waitTime(now) {
			const missing = isUnlimited() ? 0 : 1 - fill(now);
			return Math.max(0, (missing * millisecondsPerSecond) / rate);
		},
		take(now) {
			if (!isUnlimited()) {
				fill(now);
				tokens--;
			}
		},
		occupancy: (now) =>
			isUnlimited() ? 0 : 1 + (1 - fill(now)) / burstOf(rate),
	};
}
