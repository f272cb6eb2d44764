import {createRandom} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {createRetryBudget} from '../src/decisions/repeats/retry-budget.js';

describe('retry budget', () => {
	const options = {ratio: 0.2, allowance: 48, window: 10_000};
	const budgetShare = 0.25;

	it('bounds the retries of all nodes when a service loses every answer', () => {
		// Every answer of a service is lost while 300 requests a second go to it
		// through 15 nodes that don't know each other's retries. Without a bound, the
		// service would get twice its load and be overloaded.
		const nodes = 15;
		const budgets = Array.from({length: nodes}, () =>
			createRetryBudget(options, createRandom(1)),
		);
		let retries = 0;
		for (let index = 0; index < 3000; index++) {
			const now = (index * 1000) / 300;
			const budget = budgets[index % nodes]!;
			budget.countRequest('orders', now);
			retries += budget.take('orders', now, nodes, budgetShare) ? 1 : 0;
		}

		expect(retries).to.be.within(100, options.ratio * 3000 + options.allowance);
	});

	it('is available again when the window has passed', () => {
		const budget = createRetryBudget(options, createRandom(1));
		const takeAll = (now: number) => {
			let taken = 0;
			while (budget.take('orders', now, 1, budgetShare)) {
				taken++;
			}

			return taken;
		};

		expect(takeAll(0)).to.equal(12);
		expect(takeAll(9000)).to.equal(0);
		expect(takeAll(11_000)).to.equal(12);
	});

	describe('of a large fleet', () => {
		/** Simulates a window in which every request needs a retry; returns the retries of all nodes. */
		const simulateWindow = (shares: number[], seed: number) => {
			const random = createRandom(seed);
			const requests = shares.reduce((total, share) => total + share, 0);
			let retries = 0;
			for (const share of shares) {
				const budget = createRetryBudget(options, random.fork());
				for (let request = 0; request < share; request++) {
					const now = (request * options.window) / (share + 1);
					budget.countRequest('orders', now);
					retries += budget.take('orders', now, shares.length, budgetShare)
						? 1
						: 0;
				}
			}

			return {requests, retries};
		};

		it('is spent although the limit of one node is less than one retry', () => {
			// Some targets lose answers. Each of 200 nodes has sent them ten requests
			// and may make half a retry: rounded down, no request is retried.
			const {requests, retries} = simulateWindow(
				Array.from({length: 200}, () => 10),
				3,
			);
			const bound =
				budgetShare * (options.ratio * requests + options.allowance);
			expect(retries).to.be.within(bound * 0.5, bound * 1.25);
		});

		it('holds over all nodes for every distribution of the load', () => {
			fc.assert(
				fc.property(
					fc.array(fc.nat(40), {minLength: 1, maxLength: 300}),
					fc.nat(),
					(shares, seed) => {
						const {requests, retries} = simulateWindow(shares, seed);
						expect(retries).to.be.at.most(
							options.ratio * requests + options.allowance,
						);
					},
				),
				{numRuns: 200, seed: 11},
			);
		});
	});
});
