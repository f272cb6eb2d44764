import {expect} from 'chai';
import {createFailureShare} from '../src/decisions/routing/failure-share.js';

describe('failure share', () => {
	it('follows the answers, and decays without answers', () => {
		const share = createFailureShare();
		for (let index = 0; index < 100; index++) {
			share.record(index % 2 === 0, 10_000 + index * 10);
		}

		expect(share.value(11_000)).to.be.within(0.4, 0.6);
		expect(share.value(14_000)).to.be.below(0.1);
	});
});
