import {expect} from 'chai';
import {
	createCapacityLevels,
	type CapacityTarget,
} from '../src/decisions/admission/service-capacity.js';
import {
	orderLoad,
	shareRefused,
} from '../src/decisions/admission/shed-order.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {
	kinds,
	runsPerSecond,
	shareOf,
	servedWorth,
	failedShare,
} from './declining-load.js';
import {
	runTime,
	simulateDecliningFleet,
	windowLength,
} from './declining-fleet.js';

describe('capacity of a service', () => {
	const target = (
		index: number,
		changes: Partial<CapacityTarget> = {},
	): CapacityTarget => ({
		node: `node-${index}`,
		service: 'deep',
		slots: 10,
		demand: 0.8,
		occupancy: 0.95,
		isUsable: true,
		...changes,
	});
	const list = (lost: number, changes: Partial<CapacityTarget> = {}) =>
		Array.from({length: 4}, (_, index) =>
			target(index, index < lost ? {isUsable: false, slots: 0} : changes),
		);
	const whole = () => 0;

	it('counts the demand for lost targets at once, and opens as they return', () => {
		// Half of the targets end. If the others had to report their queues first, a
		// second's requests would run into them and fail.
		const levels = createCapacityLevels();
		expect(levels.update(list(0), whole, 0).size).to.equal(0);
		expect(levels.update(list(2), whole, 100).get('deep')).to.be.closeTo(
			1 - 20.4 / 32,
			1e-9,
		);
		expect(levels.update(list(1), whole, 200).get('deep')).to.be.closeTo(
			1 - 30.6 / 32,
			1e-9,
		);
		expect(levels.update(list(0), whole, 300).size).to.equal(0);
	});

	it('stays while the remaining targets are full, and falls while they have room', () => {
		const levels = createCapacityLevels();
		levels.update(list(0), whole, 0);
		const before = levels.update(list(2), whole, 100).get('deep')!;
		expect(levels.update(list(2), whole, 4000).get('deep')).to.equal(before);
		const withRoom = list(2, {occupancy: 0.5});
		expect(levels.update(withRoom, whole, 5000).get('deep')).to.be.below(
			0.75 * before,
		);
	});

	it('ignores one lost target of a service of which only some are linked', () => {
		// A node has links to two of twenty targets, and one of these ends. Half of
		// the linked capacity is lost, but a twentieth of the service.
		const levels = createCapacityLevels();
		levels.update(list(0), () => 20, 0);
		expect(levels.update(list(1), () => 20, 100).size).to.equal(0);
		expect(levels.update(list(2), () => 20, 200).size).to.equal(1);
	});

	it('ignores targets that are no longer linked, and nodes of an earlier version', () => {
		const levels = createCapacityLevels();
		levels.update(list(0), whole, 0);
		expect(levels.update(list(0).slice(2), whole, 100).size).to.equal(0);
		const earlier = createCapacityLevels();
		earlier.update(list(0, {demand: 0}), whole, 0);
		expect(earlier.update(list(2, {demand: 0}), whole, 100).size).to.equal(0);
	});
});

const start = 10_000;
const utilization = 0.7;

/** The feasible share of the worth: the requests that the capacity runs, in the shedding order. */
function feasible(capacity: number): number {
	const slices = orderLoad(
		kinds.map(({route, priority, perSecond, calls, first}) => ({
			kind: route,
			priority,
			requests: perSecond,
			cost: (calls + (first === 'deep' ? 1 : 0)) * runTime,
		})),
	);
	const level = Math.max(0, 1 - capacity / utilization);
	const worthOf = (share: (route: string) => number) =>
		kinds.reduce(
			(sum, {route, worth, perSecond}) =>
				sum + worth * perSecond * share(route),
			0,
		);
	return (
		worthOf((route) => 1 - shareRefused(level, slices.get(route) ?? [])) /
		worthOf(() => 1)
	);
}

describe('a deep service that loses targets', () => {
	// The requests that are admitted until the remaining targets report their queues
	// fill the middle service, and requests that don't need the deep one are refused.
	for (const {lost, duration, entries, reportDelay} of [
		{lost: 2, duration: 6000, entries: 6, reportDelay: 200},
		{lost: 2, duration: 6000, entries: 3, reportDelay: 800},
		{lost: 2, duration: 6000, entries: 200, reportDelay: 20},
		{lost: 1, duration: 6000, entries: 6, reportDelay: 200},
		{lost: 3, duration: 3000, entries: 6, reportDelay: 200},
	]) {
		describe(`${lost} of 3 for ${duration} ms, with ${entries} entry nodes that hear after ${reportDelay} ms`, () => {
			const windows = simulateDecliningFleet({
				kinds,
				entries,
				targets: 3,
				slots: Math.ceil((runsPerSecond * runTime) / 1000 / 3 / utilization),
				reportDelay,
				speedAt: (now, target) =>
					now >= start && now < start + duration && target < lost ? 0 : 1,
				duration: 28_000,
				policy: egretspokePolicy,
				seed: 1,
			});
			const during = windows.slice(
				(start + 2000) / windowLength,
				Math.floor((start + duration) / windowLength),
			);
			const after = windows.slice(
				Math.ceil((start + duration + 3000) / windowLength),
				-2,
			);

			it('serves 0.8 of what is feasible in each window', () => {
				for (const window of during) {
					expect(servedWorth(window)).to.be.above(
						0.8 * feasible((3 - lost) / 3),
					);
				}
			});

			it('fails at most a tenth of what it admits from 2 s on', () => {
				const settled = windows.slice((start + 2000) / windowLength);
				expect(failedShare(settled)).to.be.below(0.1);
			});

			it('serves requests that do not need the service', () => {
				for (const window of windows.slice(start / windowLength, -2)) {
					expect(shareOf(window, 'plain')).to.be.above(0.97);
				}
			});

			it('serves everything again from 3 s after the end', () => {
				expect(after.length).to.be.above(0);
				for (const window of after) {
					expect(servedWorth(window)).to.be.above(0.95);
				}
			});
		});
	}
});
