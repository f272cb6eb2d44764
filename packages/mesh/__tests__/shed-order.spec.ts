import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {createRoutePressure} from '../src/entry/route-pressure.js';
import {
	orderLoad,
	shareRefused,
} from '../src/decisions/admission/shed-order.js';

describe('the order in which requests are refused', () => {
	it('refuses what costs the full service most before what costs it least', () => {
		// A page that needs eight calls and a command that needs one have the same
		// priority. If refused alike, many commands are refused while each frees a
		// tenth of what a page does.
		const slices = orderLoad([
			{kind: 'command', priority: 2, requests: 20, cost: 70},
			{kind: 'page', priority: 2, requests: 200, cost: 180},
		]);
		const shareAt = (level: number, kind: string) =>
			shareRefused(level, slices.get(kind)!);
		expect(shareAt(0.6, 'page')).to.be.within(0.6, 0.65);
		expect(shareAt(0.6, 'command')).to.equal(0);
		expect(shareAt(0.95, 'command')).to.be.above(0.5);
	});

	it('refuses the less important before the more important', () => {
		const slices = orderLoad([
			{kind: 'pay', priority: 0, requests: 10, cost: 100},
			{kind: 'look', priority: 1, requests: 10, cost: 50},
		]);
		expect(shareRefused(0.25, slices.get('look')!)).to.be.above(0.7);
		expect(shareRefused(0.25, slices.get('pay')!)).to.equal(0);
	});

	it('refuses what costs next to nothing together with what is more important', () => {
		// A lookup takes a fifth of the slots that a booking takes, and is slightly
		// less important. If lookups were refused before any booking, five users
		// would get no answer for each booking that fits in their place.
		const slices = orderLoad([
			{kind: 'book', priority: 0, requests: 100, cost: 440},
			{kind: 'look', priority: 1, requests: 80, cost: 88},
			{kind: 'page', priority: 2, requests: 70, cost: 220},
		]);
		const shareAt = (level: number, kind: string) =>
			shareRefused(level, slices.get(kind)!);
		expect(shareAt(0.15, 'page')).to.be.above(0.6);
		expect(shareAt(0.15, 'look')).to.equal(0);
		expect(shareAt(0.4, 'look')).to.be.closeTo(shareAt(0.4, 'book'), 1e-9);
	});

	it('keeps serving some of each kind until all have shed most of their load', () => {
		// Otherwise none of the least important requests would be served for minutes,
		// and their callers would take the service to be down.
		const slices = orderLoad([
			{kind: 'pay', priority: 0, requests: 10, cost: 100},
			{kind: 'look', priority: 1, requests: 10, cost: 50},
		]);
		expect(shareRefused(0.4, slices.get('look')!)).to.be.closeTo(0.8, 1e-9);
		expect(shareRefused(1, slices.get('look')!)).to.be.below(0.98);
	});

	it('frees the same amount with each step of the level, for any kinds', () => {
		const demand = fc.record({
			requests: fc.integer({min: 1, max: 500}),
			cost: fc.integer({min: 1, max: 300}),
			priority: fc.integer({min: 0, max: 3}),
		});
		fc.assert(
			fc.property(
				fc.array(demand, {minLength: 1, maxLength: 6}),
				fc.integer({min: 0, max: 97}),
				(demands, percent) => {
					const kinds = demands.map((one, index) => ({
						...one,
						kind: `kind-${index}`,
					}));
					const slices = orderLoad(kinds);
					const level = percent / 100;
					const loads = kinds.map(({requests, cost}) => requests * cost);
					const total = loads.reduce((sum, load) => sum + load, 0);
					const freed = kinds.reduce(
						(sum, {kind}, index) =>
							sum + loads[index]! * shareRefused(level, slices.get(kind)!),
						0,
					);
					expect(freed / total).to.be.closeTo(level, 0.05);
				},
			),
			{seed: 1},
		);
	});
});

describe('the pressure on routes', () => {
	const workOf = (route: string, service: string) => ({
		route,
		service,
		priority: 2,
		workspace: undefined,
	});

	/** Pages call records twice, records call state four times; commands run at the device itself, downloads make no calls. */
	const createFixture = () => {
		const graph = createCallGraph();
		graph.setProfiles('node-1', 'panel', [
			{
				route: 'page',
				runTime: 300,
				calls: [{route: 'record', count: 2}],
				isLeaf: false,
			},
		]);
		graph.setProfiles('node-2', 'archive', [
			{
				route: 'record',
				runTime: 120,
				calls: [{route: 'state', count: 4}],
				isLeaf: false,
			},
			{route: 'download', runTime: 70, calls: [], isLeaf: true},
		]);
		for (const node of ['node-3', 'node-4']) {
			graph.setProfiles(node, 'device', [
				{
					route: 'state',
					runTime: node === 'node-3' ? 20 : 24,
					calls: [],
					isLeaf: true,
				},
				{route: 'command', runTime: 70, calls: [], isLeaf: true},
			]);
		}

		const levels = new Map<string, number>();
		const clock = createVirtualClock();
		const pressure = createRoutePressure({
			clock,
			graph,
			policy: egretspokePolicy,
			levels: () => levels,
		});
		const setLevels = (changed: Record<string, number>) => {
			levels.clear();
			for (const [service, level] of Object.entries(changed)) {
				levels.set(service, level);
			}

			clock.advanceTo(clock.now() + 100);
		};

		for (let request = 0; request < 10; request++) {
			pressure.recordRequest(workOf('page', 'panel'));
		}

		pressure.recordRequest(workOf('command', 'device'));
		pressure.recordRequest(workOf('download', 'archive'));
		pressure.refresh();
		return {graph, pressure, setLevels};
	};

	it('sums the cost of a request over its calls', () => {
		const costAt = createFixture().graph.costsOf('device');
		expect(costAt('page', 'panel')).to.be.closeTo(176, 1e-9);
		expect(costAt('download', 'archive')).to.equal(0);
		expect(costAt('command', 'device')).to.equal(70);
	});

	it('assumes that a route makes calls until some node is certain that it makes none', () => {
		// A node that has just started has seen almost no requests of a route.
		const graph = createCallGraph();
		const profile = {route: 'download', runTime: 70, calls: []};
		expect(graph.mayCall('download', 'archive')).to.equal(true);
		graph.setProfiles('node-1', 'archive', [{...profile, isLeaf: false}]);
		expect(graph.mayCall('download', 'archive')).to.equal(true);
		graph.setProfiles('node-2', 'archive', [{...profile, isLeaf: true}]);
		expect(graph.mayCall('download', 'archive')).to.equal(false);
	});

	it('knows a route only when all routes that it leads to are known', () => {
		// Pages are known to call records before records are known to call states. If
		// pages counted as known, they would cost the states nothing and all be admitted,
		// while everything else is refused for a service that is full of their calls.
		const graph = createCallGraph();
		const setProfile = (
			service: string,
			route: string,
			called: string[],
			isLeaf: boolean,
		) => {
			graph.setProfiles(service, service, [
				{
					route,
					runTime: 10,
					calls: called.map((one) => ({route: one, count: 2})),
					isLeaf,
				},
			]);
		};

		setProfile('panel', 'page', ['record'], false);
		expect(graph.isKnown('page', 'panel')).to.equal(false);
		setProfile('archive', 'record', [], false);
		expect(graph.isKnown('page', 'panel')).to.equal(false);
		setProfile('archive', 'record', ['state'], false);
		setProfile('device', 'state', [], false);
		expect(graph.isKnown('page', 'panel')).to.equal(false);
		setProfile('device', 'state', [], true);
		expect(graph.isKnown('page', 'panel')).to.equal(true);
	});

	it('is known in spite of rare calls with an unknown graph', () => {
		// Single checks of other routes look like calls. With them the graph of a
		// route would never be known, and all of its requests would be refused, or
		// admitted, as if they needed any service.
		const graph = createCallGraph();
		graph.setProfiles('archive', 'archive', [
			{route: 'record', runTime: 10, calls: [], isLeaf: true},
		]);
		const setPage = (rareCount: number) => {
			graph.setProfiles('panel', 'panel', [
				{
					route: 'page',
					runTime: 10,
					calls: [
						{route: 'record', count: 1},
						{route: 'check', count: rareCount},
					],
					isLeaf: false,
				},
			]);
		};

		setPage(0.02);
		expect(graph.isKnown('page', 'panel')).to.equal(true);
		setPage(0.2);
		expect(graph.isKnown('page', 'panel')).to.equal(false);
	});

	it('terminates at a cycle of calls', () => {
		const graph = createCallGraph();
		graph.setProfiles('node', 'service', [
			{
				route: 'again',
				runTime: 10,
				calls: [{route: 'again', count: 1}],
				isLeaf: false,
			},
		]);
		expect(graph.costsOf('service')('again', 'service')).to.equal(10);
		expect(graph.isKnown('again', 'service')).to.equal(true);
	});

	it('is calculated quickly when every route seems to call every other', () => {
		// In the first second of a node most routes look like calls, because few nodes
		// have announced theirs, so each seems to call all others. Following every path
		// would take longer than the node has, and its callers would wait.
		const graph = createCallGraph();
		const names = Array.from({length: 12}, (_, index) => `route-${index}`);
		const calls = names.map((route) => ({route, count: 0.1}));
		for (const service of ['one', 'two', 'three', 'four']) {
			graph.setProfiles(
				service,
				service,
				names.map((route) => ({route, runTime: 10, calls, isLeaf: false})),
			);
		}

		let steps = 0;
		const costAt = graph.costsOf('one');
		for (const name of names) {
			steps += costAt(name, 'two') >= 0 ? 1 : 0;
		}

		expect(steps).to.equal(names.length);
	});

	it('applies the level of a deep service only to requests that need it', () => {
		// Downloads come to the archive, which also serves the records of pages. If
		// they were refused for the device, which they never use, they would be lost
		// for nothing.
		const {pressure, setLevels} = createFixture();
		setLevels({device: 0.7});
		expect(pressure.shareRefused(workOf('page', 'panel'))).to.be.above(0.6);
		expect(pressure.shareRefused(workOf('download', 'archive'))).to.equal(0);
		expect(pressure.shareRefused(workOf('unknown', 'archive'))).to.equal(0.7);
	});

	it('refuses requests by their cost at the full service', () => {
		const {pressure, setLevels} = createFixture();
		setLevels({device: 0.5});
		const page = pressure.shareRefused(workOf('page', 'panel'));
		expect(page).to.be.within(0.5, 0.55);
		expect(pressure.shareRefused(workOf('command', 'device'))).to.equal(0);
	});

	it('uses the highest ratio where a request needs two full services', () => {
		const {pressure, setLevels} = createFixture();
		const page = workOf('page', 'panel');
		setLevels({device: 0.5, archive: 0.2});
		const both = pressure.shareRefused(page);
		setLevels({device: 0.5});
		expect(both).to.equal(pressure.shareRefused(page));
	});

	it('refuses by the level itself while no costs are known', () => {
		const pressure = createRoutePressure({
			clock: createVirtualClock(),
			graph: createCallGraph(),
			policy: egretspokePolicy,
			levels: () => new Map([['device', 0.4]]),
		});
		const work = workOf('page', 'panel');
		pressure.recordRequest(work);
		expect(pressure.shareRefused(work)).to.equal(0.4);
	});
});
