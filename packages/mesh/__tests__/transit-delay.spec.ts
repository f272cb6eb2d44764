import {expect} from 'chai';
import {createTransitDelay} from '../src/decisions/routing/transit-delay.js';

describe('transit delay', () => {
	it('is the time beyond the fastest message, whatever the offset of the clocks', () => {
		// A link is throttled, and a request waits in it for a second. Its time has
		// passed, but it still carries most of it.
		const transit = createTransitDelay();
		expect(transit.measure(5000, 100)).to.equal(0);
		expect(transit.measure(5100, 201)).to.equal(1);
		expect(transit.measure(5200, 1300)).to.equal(1000);
	});

	it('recovers from a sender whose clock has stopped for a while', () => {
		const transit = createTransitDelay();
		let delay = 0;
		for (let time = 0; time < 12_000; time += 100) {
			const suspended = time > 4000 ? 3000 : 0;
			delay = transit.measure(time - suspended, time);
		}

		expect(delay).to.equal(0);
	});
});
