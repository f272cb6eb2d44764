import {expect} from 'chai';
import {createReadPacer} from '../src/read-pacer.js';
import {createVirtualClock} from '../src/virtual-clock.js';

describe('the pacer of reads', () => {
	const create = () => {
		const clock = createVirtualClock();
		const pacer = createReadPacer(clock);
		const resumed: string[] = [];
		const createReader = (name: string) => ({
			resume() {
				resumed.push(name);
			},
		});
		return {clock, pacer, resumed, createReader};
	};

	// Guards against costly connections that are all read in each turn of the event loop.
	it('resumes one after the other', () => {
		const {clock, pacer, resumed, createReader} = create();
		for (const name of ['a', 'b', 'c']) {
			pacer.add(createReader(name));
		}

		clock.advanceTo(20);
		expect(resumed).to.deep.equal(['a']);
		clock.advanceTo(60);
		expect(resumed).to.deep.equal(['a', 'b', 'c']);
		expect(clock.pending()).to.equal(0);
	});

	it('skips those that are gone', () => {
		const {clock, pacer, resumed, createReader} = create();
		const gone = createReader('gone');
		pacer.add(gone);
		pacer.add(createReader('b'));
		pacer.remove(gone);
		clock.advanceTo(50);
		expect(resumed).to.deep.equal(['b']);
	});
});
