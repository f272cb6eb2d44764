/**
 * The rate limit that one incarnation of a target names in its answers.
 *
 * Load pattern: a target in need changes its limit while many requests run, and
 * their answers arrive in another order than the requests started. An answer of
 * a request that started earlier is not newer, so it must neither restore a
 * limit that has ended nor replace a lower one.
 */
import type {RateLimitNotice} from '../../target/target-notice.js';

/** The limit of one incarnation. */
export type KnownRateLimit = {
	/** Applies the notice in an answer; `ordinal` increases with the start of each request at the target. */
	apply(notice: RateLimitNotice, ordinal: number): void;
	/** Requests per second, infinite without a limit; undefined before any answer. */
	value(): number | undefined;
};

/** Creates the limit of a target without answers. */
export function createKnownRateLimit(): KnownRateLimit {
	let current: number | undefined;
	let newest = 0;
	return {
		apply(notice, ordinal) {
			if (ordinal <= newest) {
				return;
			}

			newest = ordinal;
			// A malformed limit still shows that the target is in need, so the previous one stays.
			if (notice.kind !== 'malformed') {
				current =
					notice.kind === 'limited'
						? notice.perSecond
						: Number.POSITIVE_INFINITY;
			}
		},
		value: () => current,
	};
}
