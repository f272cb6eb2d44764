/**
 * The attempts that a request carries for its whole chain.
 *
 * Load pattern: every layer of a deep chain tries three times. One request at
 * the top is then 3 * 3 * 3 calls at the bottom, exactly when the bottom can't
 * take one; one notices a deepest service with many times the calls that users
 * made. Here the attempts are one number for the chain. An attempt is repeated
 * only after a definite refusal, which used nothing below it, so the one that
 * gets through may pass on all that are left, this one included: the calls at
 * the bottom never exceed what the request started with.
 */
import type {CallFacts} from './policy.js';

/** Attempts that the chain below may use. */
export function attemptsBelow({attempts}: CallFacts): number {
	return Math.max(1, attempts);
}

/** Whether the chain allows one more attempt after this one. */
export function hasAttempts({attempts}: CallFacts): boolean {
	return attempts > 1;
}
