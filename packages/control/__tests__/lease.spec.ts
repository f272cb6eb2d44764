import {expect} from 'chai';
import {createVirtualClock, type Clock} from '@egretspoke/shared';
import {createLease} from '../src/lease.js';

describe('lease', () => {
	const create = () => {
		const real = createVirtualClock();
		const pause = {length: 0};
		const clock: Clock = {...real, now: () => real.now() + pause.length};
		const lease = createLease(clock, 3000);
		const reportedPauses: number[] = [];
		const stop = new AbortController();
		void lease.run(stop.signal, (length) => reportedPauses.push(length));
		return {real, pause, lease, reportedPauses};
	};

	it('does not expire while the process runs', async () => {
		const {real, lease, reportedPauses} = create();
		await real.runTo(60_000);
		expect(lease.hasExpired()).to.equal(false);
		expect(reportedPauses).to.deep.equal([]);
	});

	it('has expired at the first check after a pause, and reports its duration', async () => {
		// A VM is frozen for ten seconds, and its peers have marked it gone. A request
		// that arrives before its first timer must find it suspended, and the pause
		// must appear in the log.
		const {real, pause, lease, reportedPauses} = create();
		await real.runTo(60_000);
		pause.length = 10_000;
		expect(lease.hasExpired()).to.equal(true);
		await real.runTo(60_500);
		expect(lease.hasExpired()).to.equal(false);
		expect(reportedPauses).to.deep.equal([10_500]);
	});
});
