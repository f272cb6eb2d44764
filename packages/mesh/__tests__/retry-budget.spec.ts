import {expect} from 'chai';
import {createRetryBudget} from '../src/decisions/retry-budget.js';

describe('a retry budget', () => {
	const options = {ratio: 0.2, allowance: 48, window: 10_000};
	const part = 0.25;

	it('bounds what all nodes together send again when a service loses every answer', () => {
		// Every answer of a service is lost while 300 requests a second go to it
		// through 15 nodes that know nothing of each other's retries. Unbounded,
		// the service would get twice its load; users see it drown.
		const nodes = 15;
		const budgets = Array.from({length: nodes}, () =>
			createRetryBudget(options),
		);
		let retries = 0;
		for (let index = 0; index < 3000; index++) {
			const now = (index * 1000) / 300;
			const budget = budgets[index % nodes]!;
			budget.countRequest('orders', now);
			retries += budget.take('orders', now, nodes, part) ? 1 : 0;
		}

		expect(retries).to.be.within(100, options.ratio * 3000 + options.allowance);
	});

	it('has its part again when the window has passed', () => {
		const budget = createRetryBudget(options);
		const takeAll = (now: number) => {
			let taken = 0;
			while (budget.take('orders', now, 1, part)) {
				taken++;
			}

			return taken;
		};

		expect(takeAll(0)).to.equal(12);
		expect(takeAll(9000)).to.equal(0);
		expect(takeAll(11_000)).to.equal(12);
	});
});
