/**
 * Limits retries to a ratio of successes.
 *
 * Load pattern: a service begins to fail and every caller retries. The retries
 * add to the load that made the service fail and keep it failing when the
 * cause is gone. Here each success of a service adds a part of a token and
 * each retry takes one, so that retries stay below a tenth of the successes
 * however many requests fail.
 *
 * Tokens are counted per caller, so that one caller can't spend what the
 * others earned, and for the service as a whole, so that many callers together
 * can't start with more tokens than one.
 */
import {findOrAdd} from './bounded-table.js';

/** A tenth keeps the load within what slots and queue absorb (amplification 1.1). */
const tokensPerSuccess = 0.1;
/**
 * Ten tokens pay for the requests in flight to one target of the smallest size
 * (20 slots, half of them in use) when it fails.
 */
const maxTokens = 10;
const callerLimit = 1024;

type Tokens = {count: number};

/** The tokens for one service. */
export type RetryBudget = {whole: Tokens; byCaller: Map<string, Tokens>};

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
	return {whole: {count: maxTokens}, byCaller: new Map()};
}

/** Adds the tokens of an answered request. */
export function earnRetry(budget: RetryBudget, caller: string): void {
	earn(budget.whole);
	earn(tokensOf(budget, caller));
}

/** Takes the tokens of one retry; returns false and takes none when they are spent. */
export function spendRetry(budget: RetryBudget, caller: string): boolean {
	const own = tokensOf(budget, caller);
	if (own.count < 1 || budget.whole.count < 1) {
		return false;
	}

	own.count--;
	budget.whole.count--;
	return true;
}

function tokensOf({byCaller}: RetryBudget, caller: string): Tokens {
	return findOrAdd(byCaller, caller, callerLimit, () => ({count: maxTokens}));
}

function earn(tokens: Tokens): void {
	tokens.count = Math.min(maxTokens, tokens.count + tokensPerSuccess);
}
