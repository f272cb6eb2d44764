/** Tracks which requests the local target declines, and limits repeated offers of them. */
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {
	createOfferBudget,
	keptForCalls,
	nonLeafOfferShare,
	leafOfferShare,
} from '../decisions/repeats/offer-budget.js';
import type {CallProfile} from '../decisions/admission/call-profile.js';
import {createTargetCalls} from '../decisions/admission/target-calls.js';
import {
	nonLeafRetryShare,
	type RetryBudgetOptions,
} from '../decisions/repeats/retry-budget.js';
import {createDeclinedShare} from '../decisions/repeats/declined-share.js';
import {createRecentRatio} from '../decisions/repeats/recent-ratio.js';
import type {ForwardedRequest, Outcome} from '../links/exchange.js';

/** Dependencies of the offers. */
export type RepeatedOffersOptions = {
	policy: Pick<MeshPolicy, 'has'>;
	/** Estimates the calls of the target's routes. */
	profile: Pick<CallProfile, 'callsPerRun'>;
	/** Limit on repeated offers to a service, over all nodes. */
	budget: RetryBudgetOptions;
};

/** A request that the target has declined. */
export type OfferedRun = {
	request: Pick<ForwardedRequest, 'isInner' | 'repeatShare' | 'route'>;
	/** The offers of it after the first. */
	repeats: number;
};

/** The offers to one target; times on the monotonic clock, in milliseconds. */
export type RepeatedOffers = {
	/** Whether the request may be sent to the target: one that a target has received before only within the bound. */
	mayStart(
		request: Pick<ForwardedRequest, 'repeatShare' | 'route'>,
		now: number,
	): boolean;
	/** Records a request that is sent to the target. */
	recordStart(
		request: Pick<ForwardedRequest, 'repeatShare' | 'route'>,
		now: number,
	): void;
	/** Records that such a request no longer runs at the target, after so many repeated offers. */
	recordFreed(
		request: Pick<ForwardedRequest, 'repeatShare' | 'route'>,
		repeats: number,
	): void;
	/** Records the outcome of one offer. */
	recordOffer(outcome: Outcome, now: number): void;
	/** Records the final outcome of the request. */
	recordEnd(
		request: Pick<ForwardedRequest, 'isInner'>,
		outcome: Outcome,
		now: number,
	): void;
	/** Records a call of the target to the route; returns the share of it, from 0 to 1, that is a repeat. */
	recordCall(route: string): number;
	/** Takes another offer of a declined request from the budget; false if none is left. */
	take(run: OfferedRun, now: number): boolean;
	/** The share of recent offers that were declined. */
	declined(now: number): number;
	/** The same share for the entry nodes, which keeps its value while few offers come; see `declined-share.ts`. */
	reportedDeclined(now: number): number;
	/** The share of recent requests whose final outcome was declined; with completion chances, only of calls of running work. */
	unserved(now: number): number;
};

/** Creates the offers to a target without requests so far. */
export function createRepeatedOffers({
	policy,
	profile,
	budget: budgetOptions,
}: RepeatedOffersOptions): RepeatedOffers {
	const budget = createOfferBudget(budgetOptions);
	const targetCalls = createTargetCalls((route, called) =>
		profile.callsPerRun(route, called),
	);
	const declined = createRecentRatio();
	const reportedDeclined = createDeclinedShare();
	const unserved = createRecentRatio();
	return {
		mayStart({repeatShare}, now) {
			if (repeatShare < 1 || !policy.has('offerAgain')) {
				return true;
			}

			// Retries of requests that make calls are bounded by the entry nodes alone.
			return (
				targetCalls.makesCalls() ||
				budget.admits(
					leafOfferShare,
					now,
					nonLeafRetryShare * budgetOptions.allowance,
				)
			);
		},
		recordStart({route, repeatShare}, now) {
			budget.countArrival(repeatShare, now);
			targetCalls.recordRun(route, repeatShare);
		},
		recordFreed({route, repeatShare}, repeats) {
			targetCalls.recordEnd(route, repeats > 0 ? 1 : repeatShare);
		},
		recordOffer({kind}, now) {
			declined.record(kind === 'declined', now);
			reportedDeclined.record(kind === 'declined', now);
		},
		recordEnd({isInner}, {kind}, now) {
			if (isInner || !policy.has('completionChance')) {
				unserved.record(kind === 'declined', now);
			}
		},
		recordCall(route) {
			targetCalls.recordCall();
			return targetCalls.repeatShare(route);
		},
		take({request: {isInner, repeatShare, route}, repeats}, now) {
			const makesCalls = targetCalls.makesCalls();
			const part = makesCalls ? nonLeafOfferShare : leafOfferShare;
			const kept =
				isInner || !policy.has('completionChance') ? 0 : keptForCalls;
			const isTaken = policy.has('offerAgain') && budget.take(part, now, kept);
			if (isTaken && repeats === 0) {
				targetCalls.recordRepeat(route, repeatShare);
			}

			return isTaken;
		},
		reportedDeclined: (now) => reportedDeclined.value(now),
		declined: (now) => declined.value(now),
		unserved: (now) => unserved.value(now),
	};
}
