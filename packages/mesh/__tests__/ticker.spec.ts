import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createTicker, tickInterval} from '../src/timing/ticker.js';

describe('periodic work', () => {
	it('runs at its intervals, on one timer, until the node stops', () => {
		const clock = createVirtualClock();
		const lifetime = new AbortController();
		const ticker = createTicker(clock, lifetime.signal);
		const runs = {frequent: 0, rare: 0};
		ticker.schedule(tickInterval, () => {
			runs.frequent++;
		});
		ticker.schedule(4.5 * tickInterval, () => {
			runs.rare++;
		});
		expect(clock.pending()).to.equal(1);
		clock.advanceTo(20 * tickInterval);
		expect(runs).to.deep.equal({frequent: 20, rare: 4});
		lifetime.abort();
		clock.advanceTo(40 * tickInterval);
		expect(runs.frequent).to.equal(20);
	});

	// Guards against a node whose periodic work has all ended because one run of it threw.
	it('goes on after a task that throws', () => {
		const clock = createVirtualClock();
		const failures: unknown[] = [];
		const ticker = createTicker(
			clock,
			new AbortController().signal,
			(error) => {
				failures.push(error);
			},
		);
		let runs = 0;
		const failure = new Error('one run');
		ticker.schedule(2 * tickInterval, () => {
			throw failure;
		});
		ticker.schedule(tickInterval, () => {
			runs++;
		});
		clock.advanceTo(4 * tickInterval);
		expect(runs).to.equal(4);
		expect(failures).to.deep.equal([failure, failure]);
	});
});
