import {expect} from 'chai';
import fc from 'fast-check';
import {
	divideByShare,
	fairShareOf,
	type PriorityDemand,
} from '../src/decisions/quotas/fair-share.js';

const weightsOf = (names: Iterable<string>) =>
	new Map([...names].map((name) => [name, 1]));

const divide = (
	demands: Record<string, number>,
	admitted: number,
	weights: ReadonlyMap<string, number> = weightsOf(Object.keys(demands)),
) => {
	const listed = new Map(Object.entries(demands));
	const total = [...listed.values()].reduce((sum, demand) => sum + demand, 0);
	const demand: PriorityDemand = {total, admitted, listed};
	return divideByShare(demand, weights, fairShareOf(demand, weights));
};

describe('the fair shares of a full service', () => {
	it('admit all requests of workspaces below their share', () => {
		// Guards against callers that are refused because of the demand of others.
		const {share, admitted} = divide({small: 10, medium: 30, heavy: 200}, 120);
		expect(share).to.be.closeTo(80, 1e-9);
		expect(admitted.get('small')).to.equal(1);
		expect(admitted.get('medium')).to.equal(1);
		expect(admitted.get('heavy')).to.be.closeTo(0.4, 1e-9);
	});

	it('follow the weights', () => {
		const weights = new Map([
			['single', 1],
			['triple', 3],
		]);
		const {admitted} = divide({single: 100, triple: 100}, 100, weights);
		expect(admitted.get('single')).to.be.closeTo(0.25, 1e-9);
		expect(admitted.get('triple')).to.be.closeTo(0.75, 1e-9);
	});

	it('refuse a part of the rest when too few workspaces are listed', () => {
		// Guards against a total that exceeds the capacity until the others are known by name.
		const demand: PriorityDemand = {
			total: 200,
			admitted: 100,
			listed: new Map([['heavy', 40]]),
		};
		const weights = weightsOf(
			Array.from({length: 10}, (_, index) => `${index}`),
		);
		const {admitted, othersAdmitted} = divideByShare(
			demand,
			weights,
			fairShareOf(demand, weights),
		);
		expect(admitted.get('heavy')! * 40).to.be.closeTo(10, 1e-9);
		expect(othersAdmitted * 160).to.be.closeTo(90, 1e-9);
	});

	it('admit everything that fits', () => {
		// Guards against a share that is only an equal part when nothing is left over.
		const {admitted} = divide({small: 1, large: 9}, 10);
		expect([...admitted.values()]).to.deep.equal([1, 1]);
	});

	it('admit nearly everything when only rounding is refused', () => {
		// Guards against a share that falls to an equal part because the level refuses less than a rounding error.
		const demands = [
			4.049_949_035_086_748, 115.737_955_765_387_31, 0.456_465_795_263_774_5,
			49.511_536_063_154_31, 0.1,
		];
		const total = demands.reduce((sum, demand) => sum + demand, 0);
		const named = Object.fromEntries(
			demands.map((demand, index) => [`w${index}`, demand]),
		);
		const {admitted} = divide(named, 0.999_999_999_999_999_8 * total);
		const sum = demands.reduce(
			(all, demand, index) => all + demand * admitted.get(`w${index}`)!,
			0,
		);
		expect(sum).to.be.closeTo(total, 1e-6 * total);
	});

	it('admit exactly the capacity, and no workspace less than a smaller one', () => {
		// Guards against unused capacity, and against workspaces that starve.
		fc.assert(
			fc.property(
				fc.array(fc.double({min: 0.1, max: 1000, noNaN: true}), {
					minLength: 1,
					maxLength: 83,
				}),
				fc.oneof(
					fc.double({min: 0.1, max: 1, noNaN: true}),
					fc.double({min: 0.999_999_999_999_99, max: 1, noNaN: true}),
				),
				(demands, ratio) => {
					const total = demands.reduce((sum, demand) => sum + demand, 0);
					const named = Object.fromEntries(
						demands.map((demand, index) => [`w${index}`, demand]),
					);
					const {admitted} = divide(named, ratio * total);
					const received = demands
						.map((demand, index) => ({
							demand,
							got: demand * admitted.get(`w${index}`)!,
						}))
						.toSorted((left, right) => left.demand - right.demand);
					const sum = received.reduce((all, {got}) => all + got, 0);
					expect(sum).to.be.closeTo(ratio * total, 1e-6 * total);
					for (const [index, {got}] of received.entries()) {
						expect(got).to.be.at.least((received[index - 1]?.got ?? 0) - 1e-6);
					}
				},
			),
			{seed: 1, numRuns: 1000},
		);
	});
});
