/** What the target beside this node declines, and how often it is offered a request again. */
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {
	createOfferBudget,
	partWithCalls,
	partWithoutCalls,
	type OfferBudgetOptions,
} from './decisions/offer-budget.js';
import {createOwnCalls} from './decisions/own-calls.js';
import {createRecentShare} from './decisions/recent-share.js';
import type {ForwardedRequest, Outcome} from './exchange.js';

/** What the offers need. */
export type RepeatedOffersOptions = {
	policy: Pick<MeshPolicy, 'has'>;
	/** The bound on repeats at a service, over all nodes. */
	budget: OfferBudgetOptions;
};

/** The offers to one target; instants by the steady clock, in milliseconds. */
export type RepeatedOffers = {
	/** The target is handed a request. */
	recordStart(request: ForwardedRequest, now: number): void;
	/** What came of one offer. */
	recordOffer(outcome: Outcome, now: number): void;
	/** What came of the request in the end. */
	recordEnd(outcome: Outcome, now: number): void;
	/** The target makes a call; gives the share, from 0 to 1, of its work that is a repeat. */
	recordCall(): number;
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
	const ownCalls = createOwnCalls();
	const declined = createRecentShare();
	const unserved = createRecentShare();
	return {
		recordStart({repeatShare}, now) {
			budget.countArrival(repeatShare, now);
			ownCalls.noteRun(repeatShare);
		},
		recordOffer({kind}, now) {
			declined.note(kind === 'declined', now);
		},
		recordEnd({kind}, now) {
			unserved.note(kind === 'declined', now);
		},
		recordCall() {
			ownCalls.noteCall();
			return ownCalls.repeatShare();
		},
		take(now) {
			const part = ownCalls.any() ? partWithCalls : partWithoutCalls;
			const isTaken = policy.has('offerAgain') && budget.take(part, now);
			if (isTaken) {
				ownCalls.noteRepeat();
			}

			return isTaken;
		},
		declined: (now) => declined.value(now),
		unserved: (now) => unserved.value(now),
	};
}
