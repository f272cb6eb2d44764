import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createTicker, tickInterval} from '../src/ticker.js';

describe('periodic work', () => {
	it('is done in its periods, on one timer, until the node ends', () => {
		const clock = createVirtualClock();
		const life = new AbortController();
		const ticker = createTicker(clock, life.signal);
		const acted = {often: 0, seldom: 0};
		ticker.schedule(tickInterval, () => {
			acted.often++;
		});
		ticker.schedule(4.5 * tickInterval, () => {
			acted.seldom++;
		});
		expect(clock.pending()).to.equal(1);
		clock.advanceTo(20 * tickInterval);
		expect(acted).to.deep.equal({often: 20, seldom: 4});
		life.abort();
		clock.advanceTo(40 * tickInterval);
		expect(acted.often).to.equal(20);
	});
});
