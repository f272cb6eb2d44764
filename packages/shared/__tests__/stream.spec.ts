import {expect} from 'chai';
import {createSubject, createTicks} from '../src/stream.js';
import {createVirtualClock} from '../src/virtual-clock.js';

describe('a subject', () => {
	// Guards against a node whose routes stop following the members because another observer threw.
	it('delivers a value to the observers behind one that throws', () => {
		const subject = createSubject<number>();
		const seen: number[] = [];
		void subject.stream.observe((value) => {
			if (value === 1) {
				throw new Error('broken');
			}
		});
		void subject.stream.observe((value) => {
			seen.push(value);
		});
		expect(() => {
			subject.push(1);
		}).to.throw('broken');
		subject.push(2);
		expect(seen).to.deep.equal([1, 2]);
	});
});

describe('ticks', () => {
	// Guards against a periodic task that stops for good after one failure.
	it('go on after an observer has thrown', async () => {
		const clock = createVirtualClock();
		const stop = new AbortController();
		let ticks = 0;
		void createTicks(clock, 10, stop.signal).observe(() => {
			ticks++;
			throw new Error('broken');
		});
		for (const at of [10, 20]) {
			try {
				// eslint-disable-next-line no-await-in-loop -- one tick after another.
				await clock.runTo(at);
			} catch (error) {
				expect(String(error)).to.contain('broken');
			}
		}

		expect(ticks).to.equal(2);
		stop.abort();
	});
});
