import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createThrottledUpdates} from '../src/throttled-updates.js';

describe('paced news', () => {
	function createNews(longestPause: number) {
		const clock = createVirtualClock();
		const told: number[] = [];
		const news = createThrottledUpdates({
			clock,
			initialInterval: 1000,
			maxInterval: longestPause,
			send() {
				told.push(clock.now());
			},
		});
		return {clock, told, news};
	}

	it('are told at once when nothing was told lately', () => {
		const {news, told} = createNews(1000);
		news.schedule();
		expect(told).to.deep.equal([0]);
	});

	it('are told together, and less often the longer they go on changing', () => {
		// Run times of a target under load change each second. Told each time to
		// every linked node, they are most of what nodes have to read.
		const {clock, news, told} = createNews(8000);
		for (let second = 0; second < 40; second++) {
			news.schedule();
			clock.advanceTo(clock.now() + 1000);
		}

		expect(told.slice(0, 4)).to.deep.equal([0, 1000, 3000, 7000]);
		expect(told.length).to.be.below(9);
	});

	it('never leave the last change untold', () => {
		const {clock, news, told} = createNews(1000);
		news.schedule();
		clock.advanceTo(10);
		news.schedule();
		clock.advanceTo(5000);
		expect(told).to.deep.equal([0, 1000]);
	});
});
