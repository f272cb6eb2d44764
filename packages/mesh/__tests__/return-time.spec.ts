import {expect} from 'chai';
import {returnTime} from '../src/decisions/return-time.js';

describe('the return of refused callers', () => {
	const caller = {timeLeft: 5000, objective: 1200, refused: 0};

	it('is early enough for an answer within the objective', () => {
		// A moment's burst is refused, and its callers are told to come back when
		// it is over. Coming back after more than a second they are let in, and
		// see an answer that is too late for them.
		expect(returnTime(caller, 0.999)).to.be.at.most(600);
		expect(
			returnTime({timeLeft: 1000, objective: 250, refused: 0}, 0.999),
		).to.be.at.most(125);
	});

	it('is spread, so that they are no burst again', () => {
		expect(returnTime(caller, 0)).to.equal(240);
		expect(returnTime(caller, 0.5)).to.equal(420);
	});

	it('is late while nearly everything is refused', () => {
		// A deep service turns away most of its work for seconds. Callers that come
		// back within half a second are refused once more, and have no try left.
		expect(returnTime({...caller, refused: 1}, 0.999)).to.be.above(1600);
	});

	it('leaves callers with little time a part of it', () => {
		expect(
			returnTime({timeLeft: 90, objective: 1200, refused: 0.5}, 0.9),
		).to.equal(30);
		expect(
			returnTime({timeLeft: -5, objective: 1200, refused: 0}, 0.9),
		).to.equal(0);
	});
});
