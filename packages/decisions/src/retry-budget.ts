/**
 * Retries as a share of successes.
 *
 * Load pattern: a service begins to fail, and every caller tries again. The
 * retries are load on top of the load that made it fail, and keep it failing
 * when the cause is gone; one notices calls at the service that are a multiple
 * of the requests at the top. Here each success towards a service earns a part
 * of a token and each retry costs one, so that retries stay below a tenth of
 * the successes however many fail.
 *
 * Tokens are kept for each caller of a service, so that one caller can't spend
 * what the others earned, and for the service as a whole, so that many callers
 * together can't start with more than one could. Thresholds: a tenth keeps the
 * load within what slots and queue absorb (amplification 1.1); ten tokens pay
 * for the requests in flight to one target of the smallest size (20 slots,
 * half of them) when it goes away.
 */
import {findOrAdd} from './bounded-table.js';

const tokensPerSuccess = 0.1;
const maxTokens = 10;
const callerLimit = 1024;

type Tokens = {count: number};

/** The tokens towards one service. */
export type RetryBudget = {whole: Tokens; byCaller: Map<string, Tokens>};

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
	return {whole: {count: maxTokens}, byCaller: new Map()};
}

/** A request was answered. */
export function earnRetry(budget: RetryBudget, caller: string): void {
	earn(budget.whole);
	earn(tokensOf(budget, caller));
}

/** Takes the tokens of one retry; false, with nothing taken, when they are spent. */
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
