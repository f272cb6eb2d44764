import {expect} from 'chai';
import {
	createRateLimitFleet,
	type FleetLoad,
	type RateLimitFleetOptions,
} from './rate-limit-fleet.js';

const window = 4000;
/** Time within which a limit must take effect, in milliseconds. */
const settlingTime = 3000;
const seeds = [1, 2, 3];

/** The requests in a window that a target with this limit should get at most. */
const maxRequests = (limit: number) => (1.2 * limit * window) / 1000 + 2;

describe('targets that name rate limits, in a fleet', () => {
	type Case = Omit<RateLimitFleetOptions, 'seed'> & {
		name: string;
		load: FleetLoad;
		/** The targets that are limited. */
		limited: number[];
	};

	const play = ({load, ...options}: Case, seed: number) => {
		const fleet = createRateLimitFleet({...options, seed});
		fleet.run(load);
		return fleet;
	};

	describe('while others have room', () => {
		const cases: Case[] = [
			{
				name: 'two of five targets',
				nodes: 5,
				limited: [0, 1],
				limitOf: (target) => (target < 2 ? 12 : undefined),
				load: {perSecond: 150, until: 20_000},
			},
			{
				name: 'four of five targets',
				nodes: 5,
				limited: [0, 1, 2, 3],
				limitOf: (target) => (target < 4 ? 12 : undefined),
				load: {perSecond: 200, until: 20_000},
			},
			{
				name: 'a target that accepts half a request a second',
				nodes: 5,
				limited: [0],
				limitOf: (target) => (target === 0 ? 0.5 : undefined),
				load: {perSecond: 150, until: 30_000},
			},
			{
				name: 'a target that accepts many requests',
				nodes: 5,
				limited: [0],
				limitOf: (target) => (target === 0 ? 100 : undefined),
				load: {perSecond: 900, until: 12_000},
			},
			{
				name: 'targets of a large fleet',
				nodes: 60,
				limited: [0, 1, 2],
				limitOf: (target) => (target < 3 ? 5 : undefined),
				load: {perSecond: 900, until: 12_000},
			},
			{
				name: 'the local target of the only entry that receives requests',
				nodes: 15,
				limited: [0],
				limitOf: (target) => (target === 0 ? 12 : undefined),
				load: {perSecond: 400, until: 15_000, entries: 1},
			},
		];
		for (const played of cases) {
			// Guards against a target that gets more than it accepts, and against refusals and retries because of its limit.
			it(`get their limit and not more, and no caller is refused: ${played.name}`, () => {
				for (const seed of seeds) {
					const fleet = play(played, seed);
					for (const target of played.limited) {
						const limit = played.limitOf(target, 0)!;
						expect(
							fleet.maxInWindow(target, settlingTime, window),
						).to.be.at.most(maxRequests(limit));
						expect(fleet.rateOf(target, settlingTime)).to.be.at.least(
							0.8 * limit,
						);
					}

					expect(
						fleet.endedSince(0).filter(({status}) => status !== 200),
					).to.deep.equal([]);
					expect(fleet.retries()).to.equal(0);
				}
			});
		}

		// Guards against limits that are kept only while few callers send to each node.
		it('get no more than their limit from few callers at many nodes', () => {
			for (const seed of seeds) {
				const fleet = createRateLimitFleet({
					nodes: 60,
					seed,
					limitOf: (target) => (target < 30 ? 0.4 : undefined),
				});
				fleet.run({perSecond: 40, until: 30_000});
				for (let target = 0; target < 30; target++) {
					expect(fleet.maxInWindow(target, settlingTime, window)).to.be.at.most(
						maxRequests(0.4),
					);
				}

				expect(
					fleet.endedSince(0).filter(({status}) => status !== 200),
				).to.deep.equal([]);
			}
		});
	});

	// Guards against a lower limit that takes effect only after the earlier one is used up.
	it('get less with each lower limit', () => {
		const limitAt = (now: number) => Math.max(2, 20 - Math.floor(now / 1000));
		for (const seed of seeds) {
			const fleet = createRateLimitFleet({
				nodes: 5,
				seed,
				limitOf: (target, now) => (target === 0 ? limitAt(now) : undefined),
			});
			for (let until = 4000; until <= 20_000; until += 1000) {
				fleet.run({perSecond: 150, until});
				const from = until - window;
				expect(fleet.maxInWindow(0, from, window)).to.be.at.most(
					maxRequests(limitAt(from)),
				);
			}
		}
	});

	// Guards against a limit of 0 that never ends, because no request shows that it has ended.
	it('get requests again after a limit of 0 has ended', () => {
		for (const seed of seeds) {
			const fleet = createRateLimitFleet({
				nodes: 5,
				seed,
				limitOf: (target, now) =>
					target === 0 && now < 10_000 ? 0 : undefined,
			});
			fleet.run({perSecond: 150, until: 10_000});
			expect(fleet.maxInWindow(0, settlingTime, window)).to.be.at.most(2);
			fleet.run({perSecond: 150, until: 20_000});
			expect(fleet.rateOf(0, 16_000)).to.be.above(10);
		}
	});

	// Guards against a burst that reaches a target in the second in which it first names a limit.
	it('get no more than their limit in a burst as they first name it', () => {
		for (const seed of seeds) {
			const fleet = createRateLimitFleet({
				nodes: 15,
				seed,
				limitOf: (target, now) => (target < 3 && now >= 5000 ? 12 : undefined),
			});
			fleet.run({perSecond: 300, until: 5000});
			fleet.run({perSecond: 1500, until: 12_000});
			for (const target of [0, 1, 2]) {
				expect(
					fleet.maxInWindow(target, 5000 + settlingTime, window),
				).to.be.at.most(maxRequests(12));
			}

			expect(
				fleet.endedSince(0).filter(({status}) => status !== 200),
			).to.deep.equal([]);
		}
	});

	describe('when all targets of the service are limited', () => {
		const limit = 12;
		const nodes = 5;
		const perSecond = 150;
		const importantShare = 0.2;

		const playOverload = (seed: number) => {
			const fleet = createRateLimitFleet({nodes, seed, limitOf: () => limit});
			fleet.run({perSecond, until: 30_000, importantShare});
			return fleet;
		};

		// Guards against a limit that is exceeded or left unused under demand far above it.
		it('get their limit and not more', () => {
			for (const seed of seeds) {
				const fleet = playOverload(seed);
				for (let target = 0; target < nodes; target++) {
					expect(fleet.maxInWindow(target, settlingTime, window)).to.be.at.most(
						maxRequests(limit),
					);
					expect(fleet.rateOf(target, settlingTime)).to.be.at.least(
						0.8 * limit,
					);
				}
			}
		});

		// Guards against important requests that are refused while ordinary ones use the limit.
		it('serve important requests first, and refuse the rest before they run', () => {
			for (const seed of seeds) {
				const ended = playOverload(seed).endedSince(5000);
				const shareServed = (isImportant: boolean) => {
					const all = ended.filter((one) => one.isImportant === isImportant);
					return all.filter(({status}) => status === 200).length / all.length;
				};

				expect(shareServed(true)).to.be.above(0.85);
				expect(shareServed(false)).to.be.within(0.15, 0.35);
				const refused = ended.filter(({status}) => status !== 200);
				expect(new Set(refused.map(({status}) => status))).to.deep.equal(
					new Set([503]),
				);
				expect(refused.every(({retryAfter}) => (retryAfter ?? 0) > 0)).to.equal(
					true,
				);
			}
		});
	});
});
