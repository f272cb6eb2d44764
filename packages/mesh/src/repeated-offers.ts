/** What the target beside this node declines, and how often it is offered a request again. */
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {
	createOfferBudget,
	nonLeafOfferShare,
	leafOfferShare,
	type OfferBudgetOptions,
} from './decisions/offer-budget.js';
import {createTargetCalls} from './decisions/own-calls.js';
import {createRecentRatio} from './decisions/recent-share.js';
import type {HandedRequest, Outcome} from './exchange.js';

/** What the offers need. */
export type RepeatedOffersOptions = {
	policy: Pick<MeshPolicy, 'has'>;
	/** The bound on repeats at a service, over all nodes. */
	budget: OfferBudgetOptions;
};

/** The offers to one target; instants by the steady clock, in milliseconds. */
export type RepeatedOffers = {
	/** The target is handed a request. */
	noteStart(request: HandedRequest, now: number): void;
	/** What came of one offer. */
	noteOffer(outcome: Outcome, now: number): void;
	/** What came of the request in the end. */
	noteEnd(outcome: Outcome, now: number): void;
	/** The target makes a call; gives the share, from 0 to 1, of its work that is a repeat. */
	noteCall(): number;
	/** Takes one more offer of a declined request from the budget; false when none is left. */
	take(now: number): boolean;
	/** The share of the latest offers that were declined. */
	declined(now: number): number;
	/** The share of the latest requests that ended declined. */
	unserved(now: number): number;
};

/** Creates the offers to a target that got nothing yet. */
export function createRepeatedOffers({
	policy,
	budget: budgetOptions,
}: RepeatedOffersOptions): RepeatedOffers {
	const budget = createOfferBudget(budgetOptions);
	const ownCalls = createTargetCalls();
	const declined = createRecentRatio();
	const unserved = createRecentRatio();
	return {
		noteStart({repeatShare}, now) {
			budget.countArrival(repeatShare, now);
			ownCalls.recordRun(repeatShare);
		},
		noteOffer({kind}, now) {
			declined.record(kind === 'declined', now);
		},
		noteEnd({kind}, now) {
			unserved.record(kind === 'declined', now);
		},
		noteCall() {
			ownCalls.recordCall();
			return ownCalls.repeatShare();
		},
		take(now) {
			const part = ownCalls.makesCalls() ? nonLeafOfferShare : leafOfferShare;
			const isTaken = policy.has('offerAgain') && budget.take(part, now);
			if (isTaken) {
				ownCalls.recordRepeat();
			}

			return isTaken;
		},
		declined: (now) => declined.value(now),
		unserved: (now) => unserved.value(now),
	};
}
