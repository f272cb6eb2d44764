import {expect} from 'chai';
import {createRunTime} from '../src/decisions/routing/run-time.js';

describe('run time', () => {
	const recordRuns = (
		time: ReturnType<typeof createRunTime>,
		duration: number,
		start: number,
	) => {
		for (let run = 0; run < 50; run++) {
			time.record(duration, start + run * 20);
		}
	};

	it('follows a target that slows down within some runs', () => {
		const time = createRunTime();
		recordRuns(time, 50, 0);
		for (let run = 0; run < 10; run++) {
			time.record(600, 1000 + run * 50);
		}

		expect(time.value(1500)).to.be.above(300);
	});

	it('is unknown after some time without runs', () => {
		// A target was slow for some seconds and has recovered. No node sends it
		// work any more, so no run would ever show the recovery.
		const time = createRunTime();
		recordRuns(time, 600, 0);
		expect(time.value(6000)).to.equal(0);
	});

	it('is then the duration of the next run', () => {
		// Averaged with older runs, one fast run every few seconds would leave the
		// target avoided for a minute.
		const time = createRunTime();
		recordRuns(time, 600, 0);
		time.record(50, 6000);
		expect(time.value(6000)).to.equal(50);
	});
});
