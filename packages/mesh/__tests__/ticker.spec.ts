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
});
