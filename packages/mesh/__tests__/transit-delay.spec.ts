import {expect} from 'chai';
import {createTransitDelay} from '../src/decisions/transit-delay.js';

describe('the delay of messages', () => {
	it('is what a message took beyond the shortest way, whatever the clocks say', () => {
		// A link is squeezed, and a request lies in it for a second. Its time is
		// over, but it says that it has most of it left.
		const transit = createTransitDelay();
		expect(transit.measure(5000, 100)).to.equal(0);
		expect(transit.measure(5100, 201)).to.equal(1);
		expect(transit.measure(5200, 1300)).to.equal(1000);
	});

	it('gets over a sender whose clock has stood still', () => {
		const transit = createTransitDelay();
		let delay = 0;
		for (let time = 0; time < 12_000; time += 100) {
			const suspended = time > 4000 ? 3000 : 0;
			delay = transit.measure(time - suspended, time);
		}

		expect(delay).to.equal(0);
	});
});
