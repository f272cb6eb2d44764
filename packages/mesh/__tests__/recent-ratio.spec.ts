import {expect} from 'chai';
import {createRecentRatio} from '../src/decisions/recent-ratio.js';

describe('a recent share', () => {
	it('is of the last moments only', () => {
		// A target was ill for seconds and is well again, while entries let next to
		// nothing in. A share that waits for good answers to outweigh the bad ones
		// keeps users out long after the cause has gone.
		const share = createRecentRatio();
		for (let request = 0; request < 100; request++) {
			share.record(request % 2 === 0, 1000);
		}

		expect(share.value(1050)).to.equal(0.5);
		expect(share.value(1400)).to.equal(0);
	});

	it('says nothing by a few requests', () => {
		const share = createRecentRatio();
		for (let request = 0; request < 4; request++) {
			share.record(true, 0);
		}

		expect(share.value(0)).to.equal(0);
		share.record(true, 0);
		expect(share.value(0)).to.equal(1);
	});
});
