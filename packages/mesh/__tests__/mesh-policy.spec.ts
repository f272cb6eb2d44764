import {expect} from 'chai';
import {
	egretspokePolicy,
	withoutMechanisms,
} from '../src/decisions/mesh-policy.js';
import {wholeSlice} from '../src/decisions/shed-order.js';

describe('a policy without some mechanisms', () => {
	it('leaves out what is named, and nothing else', () => {
		const policy = withoutMechanisms(
			egretspokePolicy,
			'shedNew, offerAgain',
		)._unsafeUnwrap();
		expect(policy.has('offerAgain')).to.equal(false);
		expect(policy.has('dearFirst')).to.equal(true);
		expect(policy.shedShare(1, 0, wholeSlice)).to.equal(0);
	});

	it('is the whole policy when nothing is named', () => {
		const policy = withoutMechanisms(egretspokePolicy, '')._unsafeUnwrap();
		expect(policy.has('shedNew')).to.equal(true);
		expect(policy.shedShare(0.5, 0, wholeSlice)).to.equal(0.5);
	});

	it('names every word that is no mechanism, and those that are', () => {
		const error = withoutMechanisms(
			egretspokePolicy,
			'shedAll,offerAgain,more',
		)._unsafeUnwrapErr();
		expect(error).to.match(/^no such mechanism: shedAll, more; there are /u);
	});
});
