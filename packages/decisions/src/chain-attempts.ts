/**
 * The attempts that a request may use for its whole chain.
 *
 * Load pattern: every layer of a deep chain tries three times. One request at
 * the top becomes 3 * 3 * 3 calls at the bottom while the deepest service is
 * already overloaded. Here the chain has one number of attempts. An attempt is
 * repeated only after a definite refusal, which used no attempts downstream,
 * so the one that succeeds may pass on all remaining attempts, including
 * itself: the calls at the bottom never exceed the number with which the
 * request started.
 */
import type {CallFacts} from './policy.js';

/** The attempts that the downstream chain may use. */
export function downstreamAttempts({attempts}: CallFacts): number {
	return Math.max(1, attempts);
}

/** Whether the chain allows one more attempt after this one. */
export function hasAttempts({attempts}: CallFacts): boolean {
	return attempts > 1;
}
