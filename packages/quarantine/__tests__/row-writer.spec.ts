import {createRandom, createVirtualClock, sleep} from '@egretspoke/shared';
import {expect} from 'chai';
import {createRowWriter} from '../src/index.js';

const writeTime = 10;

/** A writer to a store that fails as often as said. */
function createWriter(failures: number) {
	const clock = createVirtualClock();
	const life = new AbortController();
	const states: number[] = [];
	let state = 0;
	let concurrent = 0;
	let tries = 0;
	const writer = createRowWriter({
		clock,
		random: createRandom(1),
		async write() {
			const written = state;
			expect(++concurrent).to.equal(1);
			await sleep(clock, writeTime);
			concurrent--;
			if (tries++ < failures) {
				return false;
			}

			states.push(written);
			return true;
		},
	});
	return {
		clock,
		life,
		states,
		writer,
		tries: () => tries,
		change() {
			state++;
			writer.request();
		},
	};
}

describe('a writer of rows', () => {
	it('writes nothing before its start, and then what changed before', async () => {
		const {clock, life, states, writer, change} = createWriter(0);
		change();
		await clock.runTo(1000);
		expect(states).to.deep.equal([]);
		writer.start(life.signal);
		await clock.runTo(2000);
		expect(states).to.deep.equal([1]);
	});

	it('writes changes that come meanwhile together, after the one that is under way', async () => {
		const {clock, life, states, writer, change} = createWriter(0);
		writer.start(life.signal);
		change();
		await clock.runTo(5);
		change();
		change();
		await clock.runTo(1000);
		expect(states).to.deep.equal([1, 3]);
	});

	it('tries again until it is written, and ends with its node', async () => {
		const {clock, life, states, writer, change, tries} = createWriter(3);
		writer.start(life.signal);
		change();
		await clock.runTo(10_000);
		expect(states).to.deep.equal([1]);
		expect(tries()).to.equal(4);
		life.abort();
		change();
		await clock.runTo(20_000);
		expect(tries()).to.equal(4);
	});
});
