import {expect} from 'chai';
import {createRunTime} from '../src/decisions/run-time.js';

describe('the time of a run', () => {
	const playRuns = (
		time: ReturnType<typeof createRunTime>,
		duration: number,
		start: number,
	) => {
		for (let run = 0; run < 50; run++) {
			time.record(duration, start + run * 20);
		}
	};

	it('follows a target that turns slow within some runs', () => {
		const time = createRunTime();
		playRuns(time, 50, 0);
		for (let run = 0; run < 10; run++) {
			time.record(600, 1000 + run * 50);
		}

		expect(time.value(1500)).to.be.above(300);
	});

	it('is unknown after a while in which the target was avoided', () => {
		// A target was slow for some seconds and is well again. Nobody gives it
		// work any more, so nothing would ever show that.
		const time = createRunTime();
		playRuns(time, 600, 0);
		expect(time.value(6000)).to.equal(0);
	});

	it('is that of the next run then', () => {
		// Averaged with what was seen before, one quick run in each few seconds
		// would leave the target avoided for a minute.
		const time = createRunTime();
		playRuns(time, 600, 0);
		time.record(50, 6000);
		expect(time.value(6000)).to.equal(50);
	});
});
