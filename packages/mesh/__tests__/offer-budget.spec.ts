import {expect} from 'chai';
import fc from 'fast-check';
import {
	createOfferBudget,
	nonLeafOfferShare,
	leafOfferShare,
} from '../src/decisions/repeats/offer-budget.js';

const options = {ratio: 0.2, window: 10_000};
/** Repeats that operators allow in each window regardless of load. */
const slack = 48;

type Arrival = {at: number; isRepeat: boolean};

/** The maximum number of repeats in a window beyond what its requests allow. */
function findExcess(arrivals: Arrival[]): number {
	const {ratio, window} = options;
	const count = (from: number, isRepeat: boolean) =>
		arrivals.filter(
			(arrival) =>
				arrival.isRepeat === isRepeat &&
				arrival.at >= from &&
				arrival.at < from + window,
		).length;
	const starts = Array.from({length: 60}, (_, index) => index * 500);
	return Math.max(
		...starts.map((start) => {
			const requests = Math.max(
				count(start, false),
				count(start - window, false),
				count(start - window / 2, false),
			);
			return count(start, true) - ratio * requests;
		}),
	);
}

describe('offer budget', () => {
	it('keeps all nodes within the bound for every distribution of load over nodes and time', () => {
		// Targets decline more than half of their requests while load moves between
		// them, stops and returns. Each node knows only its own target. Beyond the
		// bound, a service with little capacity left is overloaded by repeats and
		// stays down after the cause has gone.
		const second = fc.array(fc.nat(40), {minLength: 3, maxLength: 3});
		fc.assert(
			fc.property(
				fc.array(second, {minLength: 20, maxLength: 30}),
				(seconds) => {
					const budgets = seconds[0]!.map(() => createOfferBudget(options));
					const arrivals: Arrival[] = [];
					for (const [index, counts] of seconds.entries()) {
						for (const [target, count] of counts.entries()) {
							for (let request = 0; request < count; request++) {
								const at = index * 1000 + (request * 1000) / count;
								budgets[target]!.countArrival(0, at);
								arrivals.push({at, isRepeat: false});
								while (budgets[target]!.take(leafOfferShare, at)) {
									arrivals.push({at, isRepeat: true});
								}
							}
						}
					}

					expect(findExcess(arrivals)).to.be.at.most(slack);
				},
			),
			{seed: 1, numRuns: 60},
		);
	});

	it('counts repeats by other nodes against the bound', () => {
		const spend = (repeatShare: number) => {
			const budget = createOfferBudget(options);
			let taken = 0;
			for (let at = 0; at < 20_000; at += 10) {
				budget.countArrival(repeatShare, at);
				taken += budget.take(leafOfferShare, at) ? 1 : 0;
			}

			return taken;
		};

		expect(spend(0)).to.be.within(100, 400);
		expect(spend(0.2)).to.be.below(20);
	});

	it('admits a request again only within the bound', () => {
		const budget = createOfferBudget(options);
		const retry = (at: number, allowed: number) => {
			const isAdmitted = budget.admits(leafOfferShare, at, allowed);
			if (isAdmitted) {
				budget.countArrival(1, at);
			}

			return isAdmitted ? 1 : 0;
		};

		let retries = 0;
		for (let at = 0; at < 20_000; at += 10) {
			budget.countArrival(0, at);
			retries += at >= 10_000 ? retry(at, 0) : 0;
		}

		expect(retries).to.be.within(100, 200);
		// Without requests, only the allowed ones.
		const later = Array.from({length: 50}, () => retry(50_000, 15));
		expect(later.filter((one) => one === 1)).to.have.length(15);
	});

	it('bounds the repeats at the lowest of three services that all decline', () => {
		// Three services, each calling the next, decline half of their requests. Each
		// repeat of an upper one repeats the calls below it; the lowest gets them all.
		const budgets = [0, 1, 2].map(() => createOfferBudget(options));
		const budgetShares = [nonLeafOfferShare, nonLeafOfferShare, leafOfferShare];
		let share = 0;
		let repeatsOfLowest = 0;
		const requests = 3000;
		for (let index = 0; index < requests; index++) {
			const at = index * 10;
			share = 0;
			for (const [level, budget] of budgets.entries()) {
				budget.countArrival(share, at);
				const isTaken = budget.take(budgetShares[level]!, at);
				repeatsOfLowest += level === 2 ? share + (isTaken ? 1 : 0) : 0;
				share = isTaken ? 1 : share;
			}
		}

		expect(repeatsOfLowest / requests).to.be.at.most(options.ratio);
	});

	it('does not spend the budget of a window at once', () => {
		// All targets begin to decline under full load. If the budget is spent at once
		// on requests of which most are refused a second later, none is left for payments.
		const budget = createOfferBudget(options);
		for (let at = 0; at < 10_000; at += 2) {
			budget.countArrival(0, at);
		}

		let taken = 0;
		while (budget.take(leafOfferShare, 10_000)) {
			taken++;
		}

		expect(taken).to.be.within(5, 100);
	});
});
