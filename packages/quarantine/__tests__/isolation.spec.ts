import {expect} from 'chai';
import {createIsolation} from '../src/index.js';

describe('isolation', () => {
	it('admits one item at a time, in order of arrival', () => {
		const isolation = createIsolation<string>();
		expect(isolation.enter('a')).to.equal(true);
		expect(isolation.enter('b')).to.equal(false);
		expect(isolation.enter('c')).to.equal(false);
		expect(isolation.leave('a')).to.equal('b');
		expect(isolation.enter('b')).to.equal(true);
		expect(isolation.waiting()).to.equal(1);
	});

	it('is released only by the item that holds it', () => {
		const isolation = createIsolation<string>();
		isolation.enter('a');
		isolation.enter('b');
		expect(isolation.leave('other')).to.equal(undefined);
		expect(isolation.enter('c')).to.equal(false);
	});

	it('removes queued items', () => {
		const isolation = createIsolation<string>();
		for (const item of ['a', 'b', 'c', 'd']) {
			isolation.enter(item);
		}

		expect(isolation.withdraw('b')).to.equal(true);
		expect(isolation.withdraw('a')).to.equal(false);
		expect(isolation.removeWhere((item) => item === 'd')).to.deep.equal(['d']);
		expect(isolation.leave('a')).to.equal('c');
	});
});
