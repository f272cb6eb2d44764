import {expect} from 'chai';
import {createSuspectFleet, type SuspectFleetOptions} from './suspect-fleet.js';

/** Milliseconds within which connected nodes are notified of the third crash. */
const stabilityWindow = 3000;
/** Maximum number of targets that crash after it. */
const maxLate = 3;

const fleets: Array<Omit<SuspectFleetOptions, 'seed'>> = [
	{nodes: 6, dataCentres: 2, links: 6},
	{nodes: 15, dataCentres: 3, links: 15},
	{nodes: 61, dataCentres: 3, links: 24},
	{nodes: 195, dataCentres: 5, links: 36},
];
const seeds = [1, 2, 3, 4];

const countLate = (crashes: number[]): number => {
	const third = crashes[2] ?? Number.POSITIVE_INFINITY;
	return crashes.filter((at) => at > third + stabilityWindow).length;
};

describe('a request that crashes targets, over a fleet', () => {
	for (const fleetOptions of fleets) {
		describe(`of ${fleetOptions.nodes} nodes`, () => {
			const run = async (
				act: (fleet: ReturnType<typeof createSuspectFleet>) => Promise<void>,
			) => {
				for (const seed of seeds) {
					const fleet = createSuspectFleet({...fleetOptions, seed});
					// eslint-disable-next-line no-await-in-loop -- one seed after the other.
					await act(fleet);
					fleet.close();
					expect(fleet.crashes.length, `seed ${seed}`).to.be.at.least(3);
					expect(countLate(fleet.crashes), `seed ${seed}`).to.be.at.most(
						maxLate,
					);
				}
			};

			// Guards against repeats that arrive at any node.
			it('crashes at most three more targets, whichever node receives it', async () => {
				await run(async (fleet) => fleet.repeat(10, 20_000));
			});

			// Guards against data centres that count crashes separately.
			it('crashes at most three more targets while the data centres are cut off from each other', async () => {
				await run(async (fleet) => {
					fleet.cut((from, to) => from.dataCentre !== to.dataCentre);
					await fleet.repeat(2, 20_000);
				});
			});

			// Guards against nodes that count crashes separately.
			it('crashes at most three more targets while a third of the nodes are isolated', async () => {
				await run(async (fleet) => {
					const isIsolated = ({node}: {node: string}) =>
						Number(node.slice(5)) % 3 === 0;
					fleet.cut((from, to) => isIsolated(from) || isIsolated(to));
					await fleet.repeat(2, 20_000);
				});
			});

			// Guards against nodes that lose suspects in a restart.
			it('crashes at most three more targets while nodes restart, one by one and all at once', async () => {
				await run(async (fleet) => {
					await fleet.repeat(5, 5000);
					for (let index = 0; index < 10; index++) {
						fleet.restart(({node}) => Number(node.slice(5)) % 10 === index);
						// eslint-disable-next-line no-await-in-loop -- one after the other.
						await fleet.repeat(5, 5000 + index * 500);
					}

					fleet.restart(() => true);
					await fleet.repeat(0.5, 12_000);
					await fleet.repeat(5, 20_000);
				});
			});
		});
	}
});
