import {expect} from 'chai';
import {retryAfterTime} from '../src/decisions/retry-after-time.js';

describe('the return of refused callers', () => {
	const caller = {timeLeft: 5000, objective: 1200, refused: 0};

	it('is early enough for an answer within the objective', () => {
		// A moment's burst is refused, and its callers are told to come back when
		// it is over. Coming back after more than a second they are let in, and
		// see an answer that is too late for them.
		expect(retryAfterTime(caller, 0.999)).to.be.at.most(600);
		expect(
			retryAfterTime({timeLeft: 1000, objective: 250, refused: 0}, 0.999),
		).to.be.at.most(125);
	});

	it('is spread, so that they are no burst again', () => {
		expect(retryAfterTime(caller, 0)).to.equal(240);
		expect(retryAfterTime(caller, 0.5)).to.equal(420);
	});

	it('is late while nearly everything is refused', () => {
		// A deep service turns away most of its work for seconds. Callers that come
		// back within half a second are refused once more, and have no try left.
		expect(retryAfterTime({...caller, refused: 1}, 0.999)).to.be.above(1600);
	});

	it('leaves callers with little time a part of it', () => {
		expect(
			retryAfterTime({timeLeft: 90, objective: 1200, refused: 0.5}, 0.9),
		).to.equal(30);
		expect(
			retryAfterTime({timeLeft: -5, objective: 1200, refused: 0}, 0.9),
		).to.equal(0);
	});
});
