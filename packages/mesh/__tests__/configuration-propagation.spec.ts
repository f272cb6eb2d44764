import {createRandom} from '@egretspoke/shared';
import {expect} from 'chai';
import {createConfigurationFleet} from './configuration-fleet.js';

type Range = {min: number; max: number};

/** How many nodes a fault affects, and how often what happens. */
type Intensity = {
	/** Share of the nodes that a fault affects. */
	share: Range;
	/** Milliseconds between two faults. */
	faultGap: Range;
	/** Milliseconds between two changes of the configuration. */
	changeGap: Range;
};

const moderate: Intensity = {
	share: {min: 0.3, max: 0.95},
	faultGap: {min: 1500, max: 6500},
	changeGap: {min: 200, max: 1200},
};

/** Nearly all followers are affected at once, and every instant has its change. */
const severe: Intensity = {
	share: {min: 0.8, max: 1},
	faultGap: {min: 3000, max: 6000},
	changeGap: {min: 50, max: 150},
};

type Fault = 'links' | 'connections' | 'suspension';

/** Changes the configuration for a minute, beside faults drawn by the seed; returns the nodes that were stale. */
async function play(
	seed: number,
	faults: Fault[],
	{share, faultGap, changeGap}: Intensity,
) {
	const random = createRandom(seed);
	const fleet = createConfigurationFleet({nodes: 15, seed});
	const draw = ({min, max}: Range) => min + random.fraction() * (max - min);
	const handlers: Record<Fault, (affected: number) => void> = {
		links(affected) {
			fleet.silenceLinks(affected);
		},
		connections(affected) {
			fleet.silenceAll(affected);
		},
		suspension(affected) {
			fleet.suspend(affected / 2, draw({min: 500, max: 4500}));
		},
	};
	await fleet.runFor(5000);
	let nextFaultAt = fleet.clock.now();
	while (fleet.clock.now() < 65_000) {
		if (fleet.clock.now() >= nextFaultAt) {
			handlers[faults[random.below(faults.length)]!](draw(share));
			nextFaultAt += draw(faultGap);
		}

		fleet.change();
		// eslint-disable-next-line no-await-in-loop -- virtual time advances in steps.
		await fleet.runFor(draw(changeGap));
	}

	fleet.close();
	return fleet.stale;
}

describe('a change of the configuration is in force in time at each sound node', () => {
	for (const seed of [1, 2, 4, 5, 6]) {
		// Guards against nodes that rely on followers whose links no longer deliver.
		it(`while links go silent for good, seed ${seed}`, async () => {
			expect(await play(seed, ['links'], moderate)).to.deep.equal([]);
		});

		// Guards against followers that wait for the end of a call of the feed that has stalled.
		it(`while links and feeds go silent for good, seed ${seed}`, async () => {
			expect(
				await play(seed, ['links', 'connections'], moderate),
			).to.deep.equal([]);
		});

		// Guards against nodes that wait for announcers which are suspended, or whose links were closed meanwhile.
		it(`while nodes are suspended and links go silent, seed ${seed}`, async () => {
			expect(
				await play(seed, ['suspension', 'links', 'connections'], moderate),
			).to.deep.equal([]);
		});
	}

	describe('while nearly all connections go silent at once', () => {
		// Guards against a first follower that notices a stalled feed later than the bound allows.
		for (const seed of [11, 38, 42, 56, 60, 72, 83, 87, 94, 104, 110]) {
			it(`with the feeds, seed ${seed}`, async () => {
				expect(
					await play(seed, ['links', 'connections'], severe),
				).to.deep.equal([]);
			});
		}

		// Guards against the same when the first follower is suspended meanwhile.
		it('and nodes are suspended, seed 86', async () => {
			expect(
				await play(86, ['suspension', 'links', 'connections'], severe),
			).to.deep.equal([]);
		});
	});
});
