import {expect} from 'chai';
import {retryAfterTime} from '../src/decisions/repeats/retry-after-time.js';

describe('the retry time of refused callers', () => {
	const caller = {timeLeft: 5000, objective: 1200, refused: 0};

	it('is early enough for an answer within the objective', () => {
		// A short burst is refused, and its callers retry when it is over. After
		// more than a second the retries would be admitted, but their answers
		// would be too late.
		expect(retryAfterTime(caller, 0.999)).to.be.at.most(600);
		expect(
			retryAfterTime({timeLeft: 1000, objective: 250, refused: 0}, 0.999),
		).to.be.at.most(125);
	});

	it('is spread, so that the retries are no new burst', () => {
		expect(retryAfterTime(caller, 0)).to.equal(240);
		expect(retryAfterTime(caller, 0.5)).to.equal(420);
	});

	it('is late while nearly all requests are refused', () => {
		// A deep service declines most of its work for seconds. Callers that retry
		// within half a second are refused again, and have no attempt left.
		expect(retryAfterTime({...caller, refused: 1}, 0.999)).to.be.above(1600);
		expect(retryAfterTime({...caller, refused: 1}, 0)).to.be.above(800);
	});

	it('is a fraction of the time left of callers with little time', () => {
		expect(
			retryAfterTime({timeLeft: 90, objective: 1200, refused: 0.5}, 0.9),
		).to.equal(30);
		expect(
			retryAfterTime({timeLeft: -5, objective: 1200, refused: 0}, 0.9),
		).to.equal(0);
	});
});
