import {expect} from 'chai';
import {
	createRandom,
	createTicks,
	createVirtualClock,
	sleep,
} from '../src/index.js';

describe('virtual clock', () => {
	it('fires timers by instant, then in the order in which they were set', () => {
		const clock = createVirtualClock();
		const fired: string[] = [];
		clock.setTimer(5, () => fired.push('c'));
		clock.setTimer(1, () => fired.push('a'));
		clock.setTimer(1, () => fired.push('b'));
		clock.advanceTo(4);
		expect(fired).to.deep.equal(['a', 'b']);
		expect(clock.now()).to.equal(4);
		clock.advanceTo(5);
		expect(fired).to.deep.equal(['a', 'b', 'c']);
	});

	it('does not fire a cancelled timer', () => {
		const clock = createVirtualClock();
		let fired = 0;
		clock.setTimer(1, () => fired++).cancel();
		clock.advanceTo(10);
		expect(fired).to.equal(0);
		expect(clock.pending()).to.equal(0);
	});

	it('runs promise callbacks between timers', async () => {
		const clock = createVirtualClock();
		const seen: number[] = [];
		const recordTimes = async () => {
			await sleep(clock, 10);
			seen.push(clock.now());
			await sleep(clock, 10);
			seen.push(clock.now());
		};

		const recording = recordTimes();
		await clock.runTo(20);
		await recording;
		expect(seen).to.deep.equal([10, 20]);
	});

	it('drives a most stream of ticks', () => {
		const clock = createVirtualClock();
		const stop = new AbortController();
		const seen: number[] = [];
		void createTicks(clock, 10, stop.signal).observe((instant) =>
			seen.push(instant),
		);
		clock.advanceTo(30);
		stop.abort();
		clock.advanceTo(100);
		expect(seen).to.deep.equal([10, 20, 30]);
	});
});

describe('random', () => {
	it('gives the same sequence for the same seed', () => {
		const draw = (seed: number) => {
			const random = createRandom(seed);
			return [random.below(1000), random.fraction(), random.fork().below(1000)];
		};

		expect(draw(7)).to.deep.equal(draw(7));
		expect(draw(7)).not.to.deep.equal(draw(8));
	});
});
