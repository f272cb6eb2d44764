import {createVirtualClock, sleep} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {
	mergeRules,
	writeConfiguration,
	type ControlOptions,
} from '../src/index.js';
import {
	createNetwork,
	type Network,
	type NetworkNode,
} from './control-network.js';

/** Starts three data centres of three nodes each and runs them to 10 s of the clock. */
const startNetwork = async (defaults: Partial<ControlOptions> = {}) => {
	const clock = createVirtualClock();
	const platform = createMemoryPlatform({clock});
	const network = createNetwork({clock, platform, defaults});
	for (const dataCentre of ['dc1', 'dc2', 'dc3']) {
		for (const letter of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
			await network.add(`${dataCentre}-${letter}`);
		}
	}

	await clock.runTo(10_000);
	return {clock, platform, network};
};

/** The active members in the view of a node, by name. */
const listActive = ({control}: NetworkNode): string[] =>
	control.membership
		.members()
		.filter(({state}) => state === 'active')
		.map(({node}) => node)
		.sort();

const stateOf = ({control}: NetworkNode, node: string) =>
	control.membership.members().find((member) => member.node === node)?.state;

const find = (network: Network, name: string): NetworkNode =>
	network.nodes.find((node) => node.name === name)!;

const namesOf = (network: Network, dataCentre?: string): string[] =>
	network.nodes
		.filter((node) => !dataCentre || node.dataCentre === dataCentre)
		.map(({name}) => name)
		.sort();

describe('membership on a network', () => {
	it('converges on all nodes, including one that starts later', async () => {
		const {clock, network} = await startNetwork();
		await network.add('dc2-d');
		await clock.runTo(20_000);
		for (const node of network.nodes) {
			expect(listActive(node)).to.deep.equal(namesOf(network));
		}
	});

	it('marks a killed node gone', async () => {
		const {clock, network} = await startNetwork();
		find(network, 'dc2-b').kill();
		await clock.runTo(20_000);
		for (const node of network.nodes.filter(({name}) => name !== 'dc2-b')) {
			expect(stateOf(node, 'dc2-b')).to.equal('gone');
			expect(listActive(node)).to.have.length(8);
		}
	});

	it('spreads the leave of a target and its end to all nodes at once', async () => {
		const {clock, network} = await startNetwork();
		const leaver = find(network, 'dc1-b');
		leaver.control.leave();
		await clock.runTo(clock.now() + 1000);
		for (const node of network.nodes) {
			expect(stateOf(node, 'dc1-b')).to.equal('leaving');
		}

		const ending = leaver.control.end();
		await clock.runTo(clock.now() + 1000);
		await ending;
		leaver.kill();
		await clock.runTo(clock.now() + 10_000);
		for (const node of network.nodes) {
			expect(stateOf(node, 'dc1-b')).to.equal('gone');
		}
	});

	it('leaves and rejoins by the accepted configuration', async () => {
		const {clock, network} = await startNetwork();
		const operator = find(network, 'dc3-a').control;
		const decide = async (intent: string) => {
			const plan = await operator.plan({
				author: 'kofi',
				file: 'leave.yaml',
				document: `{service: orders, targets: [{node: dc1-a, intent: ${intent}}]}`,
			});
			await operator.confirm(plan._unsafeUnwrap().id);
			await clock.runTo(clock.now() + 4000);
		};

		await decide('leave');
		for (const node of network.nodes) {
			expect(stateOf(node, 'dc1-a')).to.equal('leaving');
		}

		await decide('join');
		for (const node of network.nodes) {
			expect(stateOf(node, 'dc1-a')).to.equal('active');
		}
	});

	describe('data centres that are partitioned from each other', () => {
		it('keep their own members each, and merge again afterwards', async () => {
			// The links between data centres fail, and those to the platform too. Each
			// data centre must continue with its own targets, stop sending to the others',
			// and rejoin without intervention when the links recover.
			const {clock, network} = await startNetwork();
			network.cut((from, to) => from !== to);
			await clock.runTo(clock.now() + 15_000);
			for (const node of network.nodes) {
				expect(listActive(node)).to.deep.equal(
					namesOf(network, node.dataCentre),
				);
			}

			network.cut(() => false);
			await clock.runTo(clock.now() + 20_000);
			for (const node of network.nodes) {
				expect(listActive(node)).to.deep.equal(namesOf(network));
				expect(node.control.membership.self().incarnation).to.equal(
					findIncarnation(network, node),
				);
			}
		});

		it('do not reactivate a member that left meanwhile', async () => {
			// While one data centre was partitioned, a target elsewhere left. The
			// rejoining nodes still have it as active; if their records were applied, it
			// would receive requests again.
			const {clock, network} = await startNetwork({
				timing: {fullSyncInterval: 500},
			});
			network.cut((from, to) => from !== to && [from, to].includes('dc3'));
			find(network, 'dc1-b').control.leave();
			await clock.runTo(clock.now() + 500);
			expect(stateOf(find(network, 'dc3-a'), 'dc1-b')).to.equal('active');
			network.cut(() => false);
			await clock.runTo(clock.now() + 20_000);
			for (const node of network.nodes) {
				expect(stateOf(node, 'dc1-b')).to.equal('leaving');
			}
		});

		/** Delivers a probe with a record from before the leave, delayed by a partition. */
		const deliverLateProbe = async (defaults: Partial<ControlOptions>) => {
			const {clock, network} = await startNetwork(defaults);
			const leaver = find(network, 'dc1-b').control;
			const sender = find(network, 'dc3-a').control.membership.self();
			const members = [sender, leaver.membership.self()];
			leaver.leave();
			await clock.runTo(clock.now() + 2000);
			const receiver = find(network, 'dc1-a');
			receiver.control.receiveProbe({
				type: 'probe',
				sequence: 0,
				members,
				configurationVersion: 0,
			});
			return stateOf(receiver, 'dc1-b');
		};

		it('do not undo a leave by a delayed probe', async () => {
			// A probe was in flight when the links failed, and arrives when they have
			// recovered. It contains an active record of a target that has left since.
			expect(await deliverLateProbe({})).to.equal('leaving');
		});

		it('undo it with the naive rule that accepts the last received', async () => {
			const {lastReceived} = mergeRules;
			const state = await deliverLateProbe({isNewer: lastReceived});
			expect(state).to.equal('active');
		});
	});

	describe('a node that is frozen past its lease', () => {
		it('accepts no new requests until it has announced itself again', async () => {
			// The hypervisor pauses a VM for ten seconds, and its peers mark it gone. It
			// resumes in the middle of an instruction and would continue with outdated
			// keys and members.
			const {clock, network} = await startNetwork();
			const node = find(network, 'dc1-a');
			const {incarnation} = node.control.membership.self();
			node.freeze();
			await clock.runTo(clock.now() + 10_000);
			expect(stateOf(find(network, 'dc2-a'), 'dc1-a')).to.equal('gone');
			expect(node.control.membership.isSuspended()).to.equal(true);
			node.thaw();
			expect(node.control.membership.isSuspended()).to.equal(true);
			await clock.runTo(clock.now() + 5000);
			expect(node.control.membership.isSuspended()).to.equal(false);
			const {incarnation: next} = node.control.membership.self();
			expect(next).to.be.above(incarnation);
			for (const each of network.nodes) {
				expect(stateOf(each, 'dc1-a')).to.equal('active');
			}
		});

		it('continues with its old incarnation if there is no lease', async () => {
			const {clock, network} = await startNetwork({
				timing: {lease: Number.MAX_SAFE_INTEGER},
			});
			const node = find(network, 'dc1-a');
			const {incarnation} = node.control.membership.self();
			node.freeze();
			await clock.runTo(clock.now() + 10_000);
			node.thaw();
			expect(node.control.membership.isSuspended()).to.equal(false);
			await clock.runTo(clock.now() + 5000);
			expect(node.control.membership.self().incarnation).to.equal(incarnation);
		});

		it('resumes when no peer is reachable', async () => {
			const {clock, network} = await startNetwork();
			const node = find(network, 'dc1-a');
			network.cut(() => true);
			node.freeze();
			await clock.runTo(clock.now() + 10_000);
			node.thaw();
			await clock.runTo(clock.now() + 5000);
			expect(node.control.membership.isSuspended()).to.equal(false);
		});
	});

	it('suspects no member when the node itself was stalled', async () => {
		// An overloaded node does not read its responses in time. If it suspected its
		// peers, overloaded nodes would mark healthy ones gone, and the gossip about it
		// would add load to all of them.
		const {clock, network} = await startNetwork();
		const suspected: string[] = [];
		let isHeldUp = false;
		let holds = 0;
		const node = await network.add('dc1-d', {
			async send(address, probe) {
				if (isHeldUp) {
					node.freeze();
					holds++;
					clock.setTimer(1000, () => {
						holds--;
						if (holds === 0) {
							node.thaw();
						}
					});
					await sleep(clock, 1001);
				}

				const peer = network.nodes.find((each) => each.address === address);
				return peer?.control.receiveProbe(probe);
			},
		});
		await clock.runTo(clock.now() + 5000);
		void node.control.membership.changes.observe(({member}) => {
			if (member.state === 'suspect') {
				suspected.push(member.node);
			}
		});
		isHeldUp = true;
		await clock.runTo(clock.now() + 30_000);
		expect(suspected).to.deep.equal([]);
	});

	it('accepts a replaced node whose wall clock is behind', async () => {
		// A VM is replaced, and its clock is an hour behind the old one's. Its records
		// would be older than the known ones, so it would receive no requests until
		// the clock is corrected.
		const {clock, network} = await startNetwork();
		const old = find(network, 'dc1-b');
		const {target, ...self} = old.control.membership.self();
		old.kill();
		network.nodes = network.nodes.filter((node) => node !== old);
		const node = await network.add('dc1-b', {
			self: {
				...self,
				incarnation: self.incarnation - 3_600_000,
				heartbeat: 0,
				state: 'joining',
				peerAddress: 'dc1-b:9',
			},
			peers: ['dc1-a:0'],
		});
		await clock.runTo(clock.now() + 3000);
		expect(target).to.equal(undefined);
		for (const each of network.nodes) {
			expect(stateOf(each, 'dc1-b')).to.equal('active');
			const known = each.control.membership
				.members()
				.find(({node: name}) => name === 'dc1-b');
			expect(known).to.deep.equal(node.control.membership.self());
		}
	});

	describe('a cold start during an outage of the platform', () => {
		const startCold = async (peers: string[]) => {
			const clock = createVirtualClock();
			const platform = createMemoryPlatform({clock});
			platform.faults.down = true;
			const network = createNetwork({clock, platform, defaults: {peers}});
			for (const name of ['dc1-a', 'dc1-b', 'dc2-a', 'dc2-b']) {
				// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
				await network.add(name);
			}

			await clock.runTo(30_000);
			return network;
		};

		it('finds the other nodes by one seed address', async () => {
			// All nodes restart after a power failure while the platform is still down.
			// Nodes that waited for it would serve no requests until it recovers.
			const network = await startCold(['dc1-a:0']);
			for (const node of network.nodes) {
				expect(listActive(node)).to.deep.equal(namesOf(network));
				expect(node.control.status().platform).to.equal('unreachable');
				expect(node.control.status().configuration.source).to.equal('defaults');
			}
		});

		it('leaves each node isolated but active without a seed address', async () => {
			const network = await startCold([]);
			for (const node of network.nodes) {
				expect(listActive(node)).to.deep.equal([node.name]);
			}
		});
	});

	describe('a start during an outage', () => {
		it('loads the highest version of its peers before it is active', async () => {
			// A node is replaced during an outage of the platform, and one data centre
			// still has an older version. The node must not serve with it if a higher one
			// is available.
			const {clock, network, platform} = await startNetwork();
			const services = [{service: 'a', requests: [], calls: [], targets: []}];
			platform.faults.down = true;
			network.cut((from, to) => from !== to);
			find(network, 'dc1-a').control.configuration.offer(
				writeConfiguration(5, services),
				'platform',
			);
			find(network, 'dc2-a').control.configuration.offer(
				writeConfiguration(4, services),
				'platform',
			);
			await clock.runTo(clock.now() + 12_000);
			network.cut(() => false);
			const node = await network.add('dc3-d', {
				peers: ['dc1-b:1', 'dc2-b:4', 'dc3-b:7'],
			});
			await clock.runTo(clock.now() + 20);
			expect(node.control.membership.self().state).to.equal('active');
			expect(node.control.configuration.current().version).to.equal(5);
			expect(node.control.configuration.source()).to.equal('peer');
		});
	});
});

function findIncarnation(network: Network, node: NetworkNode): number {
	const other = network.nodes.find(({name}) => name !== node.name);
	const known = other?.control.membership
		.members()
		.find((member) => member.node === node.name);
	return known?.incarnation ?? -1;
}
