import {expect} from 'chai';
import {
	faultKinds,
	runSchedule,
	runSeeds,
	type HandlerName,
	type ScheduleResult,
} from '../src/index.js';

describe('fault schedules', () => {
	describe('of one fault', () => {
		for (const kind of faultKinds) {
			it(`keep every promise under ${kind}`, async () => {
				// Each of these happens on an ordinary day of some week. A user who
				// books, pays or uploads meanwhile repeats what got no answer, and
				// must never find it done twice or denied though it was done.
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

	describe('of faults that the seed draws', () => {
		it('keep every promise', async () => {
			// Two faults overlap: a home is frozen while the answers of a target
			// are lost, or killed in a partition.
			const summary = await runSeeds({first: 1, last: 40}, 'egretspoke');
			expect(summary.first).to.equal(undefined);
			expect(summary).to.include({schedules: 40, violations: 0});
			expect(Object.keys(summary.faults)).to.have.lengthOf(faultKinds.length);
		});

		it('give the same history for the same seed', async () => {
			const runs: ScheduleResult[] = [];
			for (const seed of [7, 7]) {
				// eslint-disable-next-line no-await-in-loop -- one run after another.
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
			it(`break a promise: ${handler}`, async () => {
				// The same faults strike nodes that lack the mechanism; what its user
				// would notice must show, or the clean runs above prove nothing.
				const summary = await runSeeds({first: 1, last: 10}, handler);
				expect(summary.violations).to.be.greaterThan(0);
				expect(summary.violationsByChecker).to.have.property(checker);
			});
		}
	});
});
