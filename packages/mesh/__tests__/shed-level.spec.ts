import {expect} from 'chai';
import {createShedLevel, shedShare} from '../src/decisions/shed-level.js';

describe('a shed level', () => {
	it('finds the share that fits under demand of half above capacity, the least important first', () => {
		// Half as much again as a target can run comes for twenty seconds. The
		// queue grows with every period in which more is let in than leaves;
		// users of every kind would wait to the end of their time.
		const level = createShedLevel();
		let waiting = 0;
		const waits: number[] = [];
		for (let period = 0; period < 200; period++) {
			const [low, high] = [90, 60];
			const admitted =
				low * (1 - shedShare(level.value(), 0)) +
				high * (1 - shedShare(level.value(), 1));
			waiting = Math.max(0, waiting + admitted - 100);
			level.update({wait: waiting, occupancy: Math.min(1, admitted / 100)}, 2);
			waits.push(waiting);
		}

		expect(Math.max(...waits.slice(100))).to.be.below(60);
		expect(shedShare(level.value(), 0)).to.be.within(0.4, 0.75);
		expect(shedShare(level.value(), 1)).to.equal(0);
	});

	it('goes back to refusing nothing when the burst is over', () => {
		const level = createShedLevel();
		for (let period = 0; period < 20; period++) {
			level.update({wait: 200, occupancy: 1}, 3);
		}

		for (let period = 0; period < 200; period++) {
			level.update({wait: 0, occupancy: 0.9}, 3);
		}

		expect(level.value()).to.equal(0);
	});

	it('lets everybody in within three seconds once slots are free', () => {
		// Every node starts again after a loss of power, and all callers come at
		// once while the targets are cold. Two seconds later the targets have
		// slots to spare; callers are still refused for as long as the level is up.
		const level = createShedLevel();
		for (let period = 0; period < 20; period++) {
			level.update({wait: 200, occupancy: 1}, 3);
		}

		expect(level.value()).to.be.above(2);
		for (let period = 0; period < 30; period++) {
			level.update({wait: 0, occupancy: 0.6}, 3);
		}

		expect(level.value()).to.equal(0);
	});
});
