import {createVirtualClock, type VirtualClock} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {createNetwork, type Network} from './control-network.js';

const dataCentres = 6;
const nodesEach = 95;

/** Starts the fleet expected in two years; every node probes and reads at its own phase. */
const startNodes = async (clock: VirtualClock) => {
	const platform = createMemoryPlatform({clock});
	platform.faults.delay = 5;
	const network = createNetwork({clock, platform, seed: 11});
	for (let index = 0; index < dataCentres * nodesEach; index++) {
		// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
		await network.add(`dc${index % dataCentres}-${index}`);
	}

	await clock.runTo(clock.now() + 3000);
	return {platform, network};
};

/** Plans and confirms a version; returns its number once accepted. */
const confirmVersion = async (clock: VirtualClock, network: Network) => {
	const {control} = network.nodes[0]!;
	const planning = control.plan({
		author: 'esi',
		file: 'a.yaml',
		document: `{service: orders, attempts: 2}`,
	});
	await clock.runTo(clock.now() + 50);
	const plan = await planning;
	const confirming = control.confirm(plan._unsafeUnwrap().id);
	await clock.runTo(clock.now() + 50);
	const answer = await confirming;
	return answer !== 'notFound' && answer.result === 'accepted'
		? answer.version
		: undefined;
};

const countInForce = (network: Network, version: number | undefined) =>
	network.nodes.filter(
		({control}) => control.configuration.current().version === version,
	).length;

describe('570 nodes in six data centres', () => {
	it('have a version in force within 4 s, some of them without access to the platform', async () => {
		// One data centre cannot reach the platform and another can reach only the
		// platform. A confirmed change must be in force in both within seconds, or the
		// data centres treat payments differently.
		const clock = createVirtualClock();
		const {platform, network} = await startNodes(clock);
		const {reads} = platform.counters;
		const from = clock.now();
		await clock.runTo(from + 4000);
		const readRate = (platform.counters.reads - reads) / 4;
		expect(readRate).to.be.within(250, 330);
		network.cut((one, other) => {
			const ends = new Set([one, other]);
			return (
				(ends.has('dc5') && ends.has('platform')) ||
				(one !== other && ends.has('dc4') && !ends.has('platform'))
			);
		});
		const version = await confirmVersion(clock, network);
		expect(version).to.equal(1);
		await clock.runTo(clock.now() + 4000);
		expect(countInForce(network, version)).to.equal(dataCentres * nodesEach);
	});
});
