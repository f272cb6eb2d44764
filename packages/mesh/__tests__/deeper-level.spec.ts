import {expect} from 'chai';
import {createDeeperLevel} from '../src/decisions/deeper-level.js';

describe('the level of deeper services', () => {
	it('follows the answers of calls, and is forgotten a second after the last', () => {
		// The deepest service is overloaded, and only the answers of calls tell the
		// service above. When that makes no more calls, it must not go on refusing.
		const level = createDeeperLevel();
		level.note(2, 0);
		expect(level.value(10)).to.equal(2);
		level.note(0, 20);
		expect(level.value(30)).to.equal(1.75);
		expect(level.value(1021)).to.equal(0);
		level.note(0.5, 2000);
		expect(level.value(2001)).to.equal(0.5);
	});
});
