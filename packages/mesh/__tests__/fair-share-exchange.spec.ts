import {expect} from 'chai';
import {fairShareOf} from '../src/decisions/quotas/fair-share.js';
import {
	createFairShareFleet,
	servedRates,
	type FairShareFleetOptions,
	type PlayedWorkspace,
} from './fair-share-fleet.js';

const capacity = 1500;
const calmDemand = 0.9 * capacity;
const heavyNames = ['w4', 'w0', 'w11'];

/** 83 workspaces of very different demand, 0.9 of the capacity together; the larger ones use more nodes. */
const calm: PlayedWorkspace[] = Array.from({length: 83}, (_, index) => ({
	name: `w${index}`,
	demand: 1 / (index + 3),
	nodes: Math.max(2, 20 - index),
}));
const sumOfWeights = calm.reduce((sum, {demand}) => sum + demand, 0);
for (const workspace of calm) {
	workspace.demand *= calmDemand / sumOfWeights;
}

/** The same with some heavy workspaces that raise the demand to a multiple of the capacity. */
const withHeavy = (heavy: number, multiple: number, nodes: number) => {
	const names = new Set(heavyNames.slice(0, heavy));
	const added = (multiple * capacity - calmDemand) / heavy;
	return calm.map((workspace) =>
		names.has(workspace.name)
			? {...workspace, demand: workspace.demand + added, nodes}
			: workspace,
	);
};

const trueShare = (workspaces: PlayedWorkspace[]) =>
	fairShareOf(
		{
			total: workspaces.reduce((sum, {demand}) => sum + demand, 0),
			admitted: capacity,
			listed: new Map(workspaces.map(({name, demand}) => [name, demand])),
		},
		new Map(workspaces.map(({name}) => [name, 1])),
	);

const createFleet = (changes: Partial<FairShareFleetOptions> = {}) =>
	createFairShareFleet({
		nodes: 24,
		capacity,
		workspaces: calm,
		seed: 1,
		...changes,
	});

/** How the service was shared between two instants. */
const measure = (
	fleet: ReturnType<typeof createFleet>,
	workspaces: PlayedWorkspace[],
	from: number,
	until: number,
) => {
	const rates = servedRates(fleet.results, from, until);
	const share = trueShare(workspaces);
	const bounded = workspaces.map(
		({name, demand}) => (rates.get(name) ?? 0) / Math.min(demand, share),
	);
	const sum = bounded.reduce((all, value) => all + value, 0);
	const squares = bounded.reduce((all, value) => all + value ** 2, 0);
	const small = workspaces.filter(({demand}) => demand < share);
	const demanded = small.reduce((all, {demand}) => all + demand, 0);
	const served = small.reduce((all, {name}) => all + rates.get(name)!, 0);
	return {
		jain: sum ** 2 / (bounded.length * squares),
		smallServed: served / demanded,
		utilization:
			[...rates.values()].reduce((all, rate) => all + rate, 0) / capacity,
	};
};

const spreads = [
	['three nodes', 3],
	['all nodes', 24],
] as const;

/** Plays heavy workspaces from 2 s on, and measures from 2 s after. */
const playHeavy = (
	heavy: number,
	multiple: number,
	nodes: number,
	changes: Partial<FairShareFleetOptions> = {},
) => {
	const fleet = createFleet(changes);
	const workspaces = withHeavy(heavy, multiple, nodes);
	fleet.play(2000);
	fleet.configure(workspaces);
	fleet.play(12_000);
	return measure(fleet, workspaces, 4000, 12_000);
};

describe('fair shares over all nodes', () => {
	for (const multiple of [1.3, 2, 3]) {
		const utilizations: number[] = [];
		for (const heavy of [1, 2, 3]) {
			for (const [place, nodes] of spreads) {
				// Guards against callers that are refused because of other workspaces' demand.
				it(`hold with ${heavy} heavy workspaces at ${place}, ${multiple} times the capacity`, () => {
					const {jain, smallServed, utilization} = playHeavy(
						heavy,
						multiple,
						nodes,
					);
					utilizations.push(utilization);
					expect(smallServed).to.be.at.least(0.97);
					expect(jain).to.be.at.least(0.95);
				});
			}
		}

		// Guards against shares that leave a part of a full service unused.
		it(`use 0.97 of the service at ${multiple} times the capacity`, () => {
			expect(utilizations).to.have.length(6);
			expect(Math.min(...utilizations)).to.be.at.least(0.97);
		});

		// Guards against sums that are applied late and make the admitted load oscillate.
		it(`use as much as the level alone at ${multiple} times the capacity`, () => {
			const {utilization} = playHeavy(3, multiple, 24, {hasFairShares: false});
			expect(utilizations.at(-1)).to.be.at.least(utilization - 0.01);
		});
	}

	/** The requests of calm workspaces at some nodes between two instants, and the part of them that was served. */
	const smallServedAt = (
		fleet: ReturnType<typeof createFleet>,
		isCounted: (node: string) => boolean,
		from: number,
		until: number,
	) => {
		const small = fleet.results.filter(
			({at, workspace, node}) =>
				at >= from &&
				at < until &&
				!heavyNames.includes(workspace) &&
				isCounted(node),
		);
		return small.filter(({isServed}) => isServed).length / small.length;
	};

	const createOverloaded = () => {
		const fleet = createFleet();
		fleet.play(2000);
		fleet.configure(withHeavy(2, 2, 24));
		fleet.play(6000);
		return fleet;
	};

	const isInCentre = (index: number) => index % 3 === 1;

	it('hold on both sides of a partition between data centres', () => {
		// Guards against a side that waits for allocators that it can't reach.
		const fleet = createOverloaded();
		fleet.cut(
			(from, to) =>
				(from.dataCentre === 'centre-1') !== (to.dataCentre === 'centre-1'),
		);
		fleet.play(14_000);
		for (const isCounted of [
			isInCentre,
			(index: number) => !isInCentre(index),
		]) {
			const served = smallServedAt(
				fleet,
				(node) => isCounted(Number(node.slice('node-'.length))),
				9000,
				14_000,
			);
			expect(served).to.be.at.least(0.9);
		}
	});

	it('treat all workspaces alike at a node without an allocator for 1 s', () => {
		// Guards against a partitioned node that goes on refusing by old sums.
		const fleet = createOverloaded();
		const isAlone = ({node}: {node: string}) => node === 'node-0';
		fleet.cut((from, to) => isAlone(from) || isAlone(to));
		fleet.play(12_000);
		const served = smallServedAt(
			fleet,
			(node) => node === 'node-0',
			8000,
			12_000,
		);
		expect(served).to.be.within(0.35, 0.65);
	});

	for (const [name, isAffected] of [
		['the nodes of a data centre', 'centre-0'],
		['all nodes', 'centre'],
	] as const) {
		it(`hold again within 2 s after a restart of ${name}`, () => {
			// Guards against a new allocator that decides by the first reports alone.
			const fleet = createOverloaded();
			fleet.restart(({dataCentre}) => dataCentre.startsWith(isAffected));
			fleet.play(13_000);
			expect(smallServedAt(fleet, () => true, 8000, 13_000)).to.be.at.least(
				0.97,
			);
		});
	}

	it('hold when the configuration changes the workspaces', () => {
		// Guards against a share that stays reserved for a removed workspace.
		const fleet = createOverloaded();
		const changed = withHeavy(2, 2, 24).filter(({name}) => name !== 'w4');
		fleet.configure([...changed, {name: 'new', demand: 1500, nodes: 24}]);
		fleet.play(14_000);
		const rates = servedRates(fleet.results, 8000, 14_000);
		expect(rates.has('w4')).to.equal(false);
		expect(rates.get('new')! / rates.get('w0')!).to.be.within(0.9, 1.1);
	});

	it('send nothing while no service is full', () => {
		const fleet = createFleet();
		fleet.play(4000);
		expect(fleet.sent.messages).to.equal(0);
	});

	it('name only workspaces that may be above their share', () => {
		// Guards against messages that grow with the number of all workspaces.
		const small = Array.from({length: 2000}, (_, index) => ({
			name: `small-${index}`,
			demand: 1,
			nodes: 2,
		}));
		const fleet = createFleet({capacity: 2500, workspaces: small});
		fleet.play(2000);
		fleet.configure([...small, {name: 'w4', demand: 3000, nodes: 24}]);
		fleet.play(6000);
		const {messages, bytes} = {...fleet.sent};
		fleet.play(8000);
		const perMessage =
			(fleet.sent.bytes - bytes) / (fleet.sent.messages - messages);
		expect(perMessage).to.be.below(500);
	});
});
