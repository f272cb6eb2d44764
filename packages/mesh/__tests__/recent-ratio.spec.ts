import {expect} from 'chai';
import {createRecentRatio} from '../src/decisions/repeats/recent-ratio.js';

describe('recent ratio', () => {
	it('covers only a short window', () => {
		// A target failed for seconds and has recovered, while entry nodes admit almost
		// no requests. A ratio that waits for successes to outweigh the failures
		// refuses users long after the cause has gone.
		const share = createRecentRatio();
		for (let request = 0; request < 100; request++) {
			share.record(request % 2 === 0, 1000);
		}

		expect(share.value(1050)).to.equal(0.5);
		expect(share.value(1400)).to.equal(0);
	});

	it('is 0 with few requests', () => {
		const share = createRecentRatio();
		for (let request = 0; request < 4; request++) {
			share.record(true, 0);
		}

		expect(share.value(0)).to.equal(0);
		share.record(true, 0);
		expect(share.value(0)).to.equal(1);
	});
});
