import {expect} from 'chai';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {
	runTime,
	simulateDecliningFleet,
	type DecliningFleetOptions,
	type DeepArrivals,
	type FleetKind,
} from './declining-fleet.js';
import {kinds} from './declining-load.js';

// The operators' bound on repeats; times in milliseconds.
const ratio = 0.2;
const allowance = 99;
const window = 10_000;
const resolution = 100;
const duration = 60_000;
const start = 22_000;
const end = start + 25_000;

/** The sums of counts up to each multiple of the resolution. */
const sumUp = (times: number[]) => {
	const sums = Array.from({length: duration / resolution + 1}, () => 0);
	for (const time of times) {
		sums[Math.floor(time / resolution) + 1]!++;
	}

	for (let index = 1; index < sums.length; index++) {
		sums[index]! += sums[index - 1]!;
	}

	return (from: number) =>
		sums[(from + window) / resolution]! - sums[Math.max(0, from) / resolution]!;
};

/** The maximum of the repeats in a window as a multiple of those that operators allow. */
const findMaxUse = ({requests, repeats}: DeepArrivals) => {
	const requestsIn = sumUp(requests);
	const repeatsIn = sumUp(repeats);
	let max = 0;
	for (let from = window; from + window <= duration; from += resolution) {
		const most = Math.max(
			requestsIn(from),
			requestsIn(from - window),
			requestsIn(from - window / 2),
		);
		max = Math.max(max, repeatsIn(from) / (ratio * most + allowance));
	}

	return max;
};

/** The load with two more services above, each of which repeats what fails below. */
const chains: FleetKind[] = kinds.map((kind) => ({
	...kind,
	servicesAbove: kind.first === 'deep' ? 0 : 2,
	isIdempotent: true,
}));

const simulate = (
	load: FleetKind[],
	options: Partial<DecliningFleetOptions>,
) => {
	const arrivals: DeepArrivals = {requests: [], repeats: []};
	const runs = load.reduce(
		(sum, {first, perSecond, calls}) =>
			sum + perSecond * (calls + (first === 'deep' ? 1 : 0)),
		0,
	);
	const slots = (runs * runTime) / 1000 / 4 / 0.7;
	simulateDecliningFleet({
		kinds: load,
		entries: 67,
		targets: 4,
		slots: Math.ceil(options.loadShares ? 1.9 * slots : slots),
		reportDelay: 200,
		declinedAt: (now) => (now >= start && now < end ? 0.55 : 0),
		duration,
		policy: egretspokePolicy,
		seed: 1,
		attempts: 3,
		allowance,
		arrivals,
		...options,
	});
	return findMaxUse(arrivals);
};

describe('the repeats at a deep service over all nodes', () => {
	it('stay within the bound when the chains above that fail are repeated', () => {
		// Guards against calls of repeated chains that targets don't count as repeats: they spend the bound once more on their own offers.
		expect(simulate(chains, {})).to.be.at.most(1);
	});

	it('stay within the bound when entry nodes retry after the targets have spent theirs', () => {
		// Guards against retries of entry nodes on top of the targets' own offers: these suffice at first, then more is declined.
		const declinedAt = (now: number) => {
			if (now < start || now >= end) {
				return 0;
			}

			return now < start + 8000 ? 0.15 : 0.55;
		};

		expect(simulate(chains, {declinedAt})).to.be.at.most(1);
		expect(
			simulate(chains, {declinedAt, loadShares: [0.46, 0.3, 0.16, 0.08]}),
		).to.be.at.most(1);
	});
});
