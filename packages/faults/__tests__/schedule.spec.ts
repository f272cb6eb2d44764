import {expect} from 'chai';
import {
	faultKinds,
	runSchedule,
	runSeeds,
	type HandlerName,
	type ScheduleResult,
} from '../src/index.js';

describe('fault schedules', () => {
	describe('with one fault', () => {
		for (const kind of faultKinds) {
			it(`cause no violation under ${kind}`, async () => {
				// Each of these faults is common in operation. Users who book, pay or
				// upload meanwhile retry requests without an answer; these must not run
				// twice, or be reported as not run after they ran.
				const result = await runSchedule({
					seed: 100,
					handler: 'egretspoke',
					kinds: [kind],
				});
				expect(result.violations).to.deep.equal([]);
				expect(result.callers.answered).to.be.greaterThan(0);
			});
		}
	});

	describe('with faults that the seed selects', () => {
		it('cause no violation', async () => {
			// Two faults can overlap: for example, a home is frozen while a target loses
			// answers, or killed during a partition.
			const summary = await runSeeds({first: 1, last: 40}, 'egretspoke');
			expect(summary.first).to.equal(undefined);
			expect(summary).to.include({schedules: 40, violations: 0});
			expect(Object.keys(summary.faults)).to.have.lengthOf(faultKinds.length);
		});

		it('produce the same history for the same seed', async () => {
			const runs: ScheduleResult[] = [];
			for (const seed of [7, 7]) {
				// eslint-disable-next-line no-await-in-loop -- sequential runs.
				runs.push(await runSchedule({seed, handler: 'egretspoke'}));
			}

			expect(runs[0]!.history).to.deep.equal(runs[1]!.history);
		});
	});

	describe('without one of the mechanisms', () => {
		const caught: Array<[HandlerName, string]> = [
			['withoutLedger', 'noKeyRanTwice'],
			['retryUnknown', 'noKeyRanTwice'],
			['timeoutIsNotRun', 'noNotRunRan'],
			['latestVersion', 'noVersionWentDown'],
			['naive', 'noKeyRanTwice'],
		];
		for (const [handler, checker] of caught) {
			it(`cause violations: ${handler}`, async () => {
				// The same faults without the mechanism must cause the violation that
				// users would notice; otherwise the specs above prove nothing.
				const summary = await runSeeds({first: 1, last: 10}, handler);
				expect(summary.violations).to.be.greaterThan(0);
				expect(summary.violationsByChecker).to.have.property(checker);
			});
		}
	});
});
