/**
 * Calculates which requests can't complete because a service below their first
 * one declines a part of its calls, and how many of them to refuse.
 *
 * Load pattern: for some seconds, all targets of a deep service decline half of
 * their calls at once although they have room, while requests make four or
 * eight calls there. A call may be offered again only within a bound. Spread
 * over all requests, the repeats let hardly any complete: 0.53 of the calls
 * are served, so 0.53⁸ of the requests. The others fail midway and
 * fill the slots of the services above, so that requests that never call the
 * deep service are refused as well. So no more requests are admitted than the
 * repeats can complete.
 */

/** A service that declines calls. */
export type DecliningService = {
	/** The share of the offers to the service, from 0 to 1, that its targets decline; see `service-declines.ts`. */
	declined: number;
	/** The level that the targets of the service ask for because calls end declined nevertheless. */
	level: number;
};

/** Returns the calls of one request to a service, below its first service. */
export type CallsTo = (service: string) => number;

/**
 * The repeated offers per call that admission counts on. Operators allow 0.2
 * per request and 10 s; a target spends 0.18 of that (`offer-budget.ts`). The
 * rest is a margin for calls that need more offers than the mean.
 */
export const repeatsPerCall = 0.15;
/**
 * The chance from which requests are admitted regardless: operators accept that
 * one of ten admitted requests fails, and refusing more would cost more
 * completed requests than it saves failed ones.
 */
const sufficientChance = 0.9;
/**
 * The chance from which the whole level applies. A caller of a request that may
 * not be repeated can return after a refusal but not after a failure, so a
 * request that fails as often as not is better refused.
 */
const insufficientChance = 0.5;

/**
 * The share of calls whose repeated offers the bound covers. A call needs
 * d / (1 − d) repeated offers on average. Depends on the declined share alone:
 * with the admitted load in it, each refusal would raise the share, and the
 * decision would oscillate.
 */
export function coveredShare(declined: number): number {
	return declined <= 0
		? 1
		: Math.min(1, (repeatsPerCall * (1 - declined)) / declined);
}

/** The share of calls that is served when the repeats are spread over all of them. */
export function servedShare(declined: number): number {
	return 1 - declined + declined * coveredShare(declined);
}

/** The chance that a request completes if all requests were admitted. */
export function completionChance(
	services: ReadonlyMap<string, DecliningService>,
	callsTo: CallsTo,
): number {
	let chance = 1;
	for (const [service, {declined}] of services) {
		chance *= servedShare(declined) ** callsTo(service);
	}

	return chance;
}

/** The level at which the admitted calls to the service can be repeated until they are served. */
export function completionLevel({declined, level}: DecliningService): number {
	return Math.max(1 - coveredShare(declined), level);
}

/** The weight, from 0 to 1, of the completion level for requests with that chance; gradual, so that noise has a small effect. */
export function refusalWeight(chance: number): number {
	const missing =
		(sufficientChance - chance) / (sufficientChance - insufficientChance);
	return Math.min(1, Math.max(0, missing));
}
