import {expect} from 'chai';
import {
	createBulkhead,
	divideLevel,
} from '../src/decisions/admission/bulkhead.js';
import {createTargetAdmission} from '../src/decisions/admission/target-admission.js';
import {
	egretspokePolicy,
	withoutMechanisms,
} from '../src/decisions/mesh-policy.js';
import {
	runTime,
	simulateDecliningFleet,
	windowLength,
} from './declining-fleet.js';
import {
	failedShare,
	kinds,
	runsPerSecond,
	servedWorth,
	shareOf,
} from './declining-load.js';

describe('bulkhead of a target', () => {
	const limit = 10;

	/** Routes that usually take 100 and 10 ms, with two thirds and one third of the load; the first one now takes `slowness` times as long, the second one `otherSlowness` times. */
	const createLearnt = (slowness: number, otherSlowness = 1) => {
		const bulkhead = createBulkhead();
		const run = (route: string, duration: number) => {
			bulkhead.recordOffer(route);
			bulkhead.recordStart(route);
			bulkhead.recordEnd(route, duration);
		};

		for (let index = 0; index < 1150; index++) {
			const isNow = index >= 1000;
			if (index % 5 === 0) {
				run('page', isNow ? 100 * slowness : 100);
			}

			run('plain', isNow ? 10 * otherSlowness : 10);
		}

		return bulkhead;
	};

	const createAdmission = (slowness: number) => {
		const admission = createTargetAdmission<string>(
			limit,
			undefined,
			createLearnt(slowness),
		);
		const offer = (route: string, item: string) =>
			admission.offer(
				{isNearCompletion: false, priority: 0, maxWait: 10_000, route},
				item,
				0,
			);
		for (let index = 0; index < limit; index++) {
			offer('page', `page ${index}`);
		}

		return {admission, offer};
	};

	it('lets others go first while a route that waits for others holds its share', () => {
		// Pages wait for a slow service and have all slots. Others that take 10 ms
		// would queue behind further pages, each of which takes seconds.
		const {admission, offer} = createAdmission(5);
		offer('page', 'next page');
		offer('plain', 'plain');
		admission.finish(500, 'page');
		expect(admission.next(0)).to.equal('plain');
		expect(admission.next(0)).to.equal(undefined);
	});

	it('leaves no slot free while only such a route waits', () => {
		const {admission, offer} = createAdmission(5);
		offer('page', 'next page');
		admission.finish(500, 'page');
		expect(admission.next(0)).to.equal('next page');
	});

	it('keeps the order of arrival while no route is slower than usual', () => {
		const {admission, offer} = createAdmission(1);
		offer('page', 'next page');
		offer('plain', 'plain');
		admission.finish(100, 'page');
		expect(admission.next(0)).to.equal('next page');
	});

	it('holds no route when the target itself is slow', () => {
		// All routes take five times as long. Holding one of them would refuse its
		// requests for a fault that it doesn't cause.
		expect(createLearnt(5, 5).isOverShare('page', 0)).to.equal(false);
		expect(createLearnt(5, 5).takeHeldShare()).to.equal(0);
		expect(createLearnt(5).takeHeldShare()).to.be.above(0.9);
	});

	it('sheds the requests that wait before others', () => {
		expect(divideLevel(0.4, 0)).to.deep.equal({held: 0, all: 0.4});
		expect(divideLevel(0.4, 0.8)).to.deep.equal({held: 0.5, all: 0});
		const {held, all} = divideLevel(0.9, 0.8);
		expect(held).to.equal(1);
		expect(all).to.be.closeTo(0.5, 1e-9);
	});
});

describe('a deep service that runs at a third of its speed for 6 s', () => {
	// Its callers hold the slots of the middle service three times as long, which
	// is full then; its level applied to requests that never call the slow service.
	const start = 10_000;
	const utilization = 0.7;
	const simulate = (
		policy: typeof egretspokePolicy,
		reportDelay = 200,
		entries = 6,
	) =>
		simulateDecliningFleet({
			kinds,
			entries,
			targets: 3,
			slots: Math.ceil((runsPerSecond * runTime) / 1000 / 3 / utilization),
			reportDelay,
			speedAt: (now) => (now >= start && now < start + 6000 ? 1 / 3 : 1),
			duration: 26_000,
			policy,
			seed: 1,
		});
	const duringOf = (windows: ReturnType<typeof simulate>) =>
		windows.slice((start + 2000) / windowLength, (start + 6000) / windowLength);

	for (const [entries, reportDelay] of [
		[6, 20],
		[6, 200],
		[3, 800],
		[200, 200],
	] as const) {
		it(`serves requests that do not need it, with ${entries} entry nodes that hear after ${reportDelay} ms`, () => {
			const windows = simulate(egretspokePolicy, reportDelay, entries);
			for (const window of duringOf(windows)) {
				expect(shareOf(window, 'plain')).to.be.above(0.97);
				// A third of the speed at 0.7 is the capacity for 0.48 of the runs; in the
				// shedding order that is 0.68 of the worth (see service-capacity.spec).
				expect(servedWorth(window)).to.be.above(0.8 * 0.68);
			}

			expect(failedShare(duringOf(windows))).to.be.below(0.1);
			for (const window of windows.slice(10, -2)) {
				expect(servedWorth(window)).to.be.above(0.95);
			}
		});
	}

	it('refuses them without the mechanism', () => {
		const policy = withoutMechanisms(
			egretspokePolicy,
			'bulkhead',
		)._unsafeUnwrap();
		for (const window of duringOf(simulate(policy))) {
			expect(shareOf(window, 'plain')).to.be.below(0.9);
		}
	});
});
