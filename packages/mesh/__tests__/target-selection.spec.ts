import {createRandom} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	selectTarget,
	type Candidate,
} from '../src/decisions/routing/target-selection.js';

describe('target selection', () => {
	const random = createRandom(7);
	const candidate = (changed: Partial<Candidate>): Candidate => ({
		node: 'a',
		isLocal: false,
		isNear: true,
		occupancy: 0.5,
		isRateLimited: false,
		failureShare: 0,
		runTime: 100,
		isDoubtful: false,
		...changed,
	});

	const count = (candidates: Candidate[], node: string, bodyBytes = 0) =>
		Array.from({length: 300}, () =>
			selectTarget(candidates, random, bodyBytes),
		).filter((chosen) => chosen?.node === node).length;

	it('prefers a near target while it has room', () => {
		const candidates = [
			candidate({node: 'near'}),
			candidate({node: 'far', isNear: false, occupancy: 0}),
		];
		expect(count(candidates, 'near')).to.equal(300);
	});

	it('selects a far target before the only near one is full', () => {
		const candidates = [
			candidate({node: 'near', occupancy: 0.95}),
			candidate({node: 'far', isNear: false, occupancy: 0.3}),
		];
		expect(count(candidates, 'far')).to.equal(300);
	});

	it('selects the local target while it has room', () => {
		const own = candidate({node: 'own', isLocal: true});
		const other = candidate({node: 'other', occupancy: 0});
		expect(count([own, other], 'own')).to.equal(300);
		expect(count([{...own, occupancy: 0.9}, other], 'other')).to.equal(300);
	});

	it('does not cross between data centres while all targets are equally full', () => {
		// Demand is half above the capacity of the service, and every target has a
		// queue. Crossing saves no wait then, yet two thirds of all calls would cross.
		const candidates = [
			candidate({node: 'near', occupancy: 1.3}),
			candidate({node: 'far', isNear: false, occupancy: 1.1}),
			candidate({node: 'further', isNear: false, occupancy: 1.2}),
		];
		expect(count(candidates, 'near')).to.equal(300);
		const slow = [candidate({node: 'near', occupancy: 1.6}), ...candidates];
		expect(
			count(
				slow.filter((_, index) => index !== 1),
				'near',
			),
		).to.equal(0);
	});

	it('lets a large upload wait for a near target where a small request crosses', () => {
		const candidates = [
			candidate({node: 'near', occupancy: 1.2}),
			candidate({node: 'far', isNear: false, occupancy: 0.5}),
		];
		expect(count(candidates, 'near', 60_000)).to.equal(300);
		expect(count(candidates, 'far', 500)).to.equal(300);
	});

	it('selects a target that has just joined', () => {
		const candidates = [
			candidate({node: 'old'}),
			candidate({node: 'joined', occupancy: 0}),
		];
		expect(count(candidates, 'joined')).to.equal(300);
	});

	it('avoids a target that fails half of its requests and therefore seems idle', () => {
		const grey = candidate({node: 'grey', occupancy: 0.1, failureShare: 0.5});
		const candidates = [grey, candidate({node: 'good', occupancy: 0.4})];
		expect(count(candidates, 'grey')).to.equal(0);
		expect(
			count([grey, candidate({node: 'full', occupancy: 0.9})], 'grey'),
		).to.equal(300);
	});

	it('attributes failures that all targets share to a deeper service', () => {
		const candidates = [
			candidate({node: 'near', failureShare: 0.6}),
			candidate({node: 'far', isNear: false, failureShare: 0.6}),
		];
		expect(count(candidates, 'near')).to.equal(300);
	});

	it('selects a doubtful target only when there is no other', () => {
		const doubtful = candidate({node: 'doubtful', isDoubtful: true});
		expect(
			count([doubtful, candidate({node: 'good', occupancy: 2})], 'doubtful'),
		).to.equal(0);
		expect(count([doubtful], 'doubtful')).to.equal(300);
	});

	describe('when a few targets slow down', () => {
		it('selects one that is twelve times slower only after all others are full', () => {
			// The slow target has free slots because few requests go there; every view
			// sent to it waits for seconds, while other targets would answer at once.
			const slow = candidate({node: 'slow', occupancy: 0.2, runTime: 1200});
			const others = [
				candidate({node: 'good', occupancy: 0.7}),
				candidate({node: 'better', occupancy: 0.6}),
			];
			expect(count([slow, ...others], 'slow')).to.equal(0);
			expect(
				count(
					[slow, ...others.map((one) => ({...one, occupancy: 1.2}))],
					'slow',
				),
			).to.be.above(0);
		});

		it('avoids the local target when it is slow', () => {
			const own = candidate({
				node: 'own',
				isLocal: true,
				occupancy: 0.3,
				runTime: 1200,
			});
			expect(count([own, candidate({node: 'other'})], 'other')).to.equal(300);
		});

		it('ignores run time that all of them share', () => {
			// A deeper service is slow, and with it every target that calls it.
			const candidates = [
				candidate({node: 'near', runTime: 3000}),
				candidate({node: 'far', isNear: false, occupancy: 0, runTime: 2500}),
			];
			expect(count(candidates, 'near')).to.equal(300);
		});

		it('ignores the usual difference between targets', () => {
			const candidates = [
				candidate({node: 'near', occupancy: 0.7, runTime: 250}),
				candidate({node: 'far', isNear: false, occupancy: 0.3}),
			];
			expect(count(candidates, 'near')).to.equal(300);
		});
	});
});
