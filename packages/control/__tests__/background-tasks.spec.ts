import {
	createRandom,
	createSupervisor,
	createVirtualClock,
	type ChildFailure,
} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {createControl, type ControlOptions} from '../src/index.js';
import {createMember, createNetwork} from './control-network.js';

/** One node alone, parts of which throw. */
const startAlone = async (overrides: Partial<ControlOptions>) => {
	const clock = createVirtualClock();
	const failures: ChildFailure[] = [];
	const tasks: string[] = [];
	const control = createControl({
		self: createMember('dc1-a', {incarnation: clock.date().getTime()}),
		platform: createMemoryPlatform({clock}),
		clock,
		random: createRandom(1),
		send: async () => undefined,
		fetchConfiguration: async () => undefined,
		onFailure: (task) => tasks.push(task),
		...overrides,
	});
	const supervisor = createSupervisor(clock, (failure) => {
		failures.push(failure);
	});
	const starting = control.start(supervisor);
	await clock.runTo(clock.now() + 4000);
	await starting;
	return {
		clock,
		control,
		failures,
		tasks,
		supervisor,
		paths: () => [...new Set(failures.map(({path}) => path))].toSorted(),
	};
};

describe('background tasks of control', () => {
	// Guards against an error in a read that ends the node, or the loop for good.
	it('start with a platform whose calls throw, and go on once they no longer do', async () => {
		const clock = createVirtualClock();
		const whole = createMemoryPlatform({clock});
		let isBroken = true;
		const breakCall = <Call extends (...parameters: never[]) => unknown>(
			call: Call,
		) =>
			((...parameters: Parameters<Call>) => {
				if (isBroken) {
					throw new Error('broken');
				}

				return call(...parameters);
			}) as Call;
		const node = await startAlone({
			platform: {
				...whole,
				table: {
					read: breakCall(whole.table.read),
					list: breakCall(whole.table.list),
					transact: breakCall(whole.table.transact),
				},
			},
		});
		expect(node.control.membership.self().state).to.equal('active');
		await node.clock.runTo(20_000);
		expect(node.paths()).to.deep.equal([
			'root/configuration',
			'root/discovery',
			'root/learn',
			'root/seedRow',
		]);
		expect(node.supervisor.failing().map(({path}) => path)).to.include(
			'root/configuration',
		);
		isBroken = false;
		await node.clock.runTo(60_000);
		expect(node.control.status().platform).to.equal('reachable');
		expect(node.supervisor.failing()).to.deep.equal([]);
		await node.supervisor.stop();
	});

	// Guards against a node that stops probing its members after one probe has thrown.
	it('probe again after a probe has thrown', async () => {
		let probes = 0;
		const node = await startAlone({
			peers: ['10.0.0.9:7401'],
			async send() {
				probes++;
				throw new Error('broken');
			},
		});
		await node.clock.runTo(60_000);
		expect(node.paths()).to.include('root/reconnect');
		expect(probes).to.be.greaterThan(5);
		expect(node.tasks).not.to.include('learn');
		await node.supervisor.stop();
	});

	it('accept work again after a pause whose announcement has failed', async () => {
		// A VM is frozen for longer than its lease, and on the resume a send throws.
		// The node would refuse every request from then on, although it is healthy.
		const clock = createVirtualClock();
		const platform = createMemoryPlatform({clock});
		const tasks: string[] = [];
		let isBroken = false;
		const network = createNetwork({
			clock,
			platform,
			onChildFailure: () => undefined,
		});
		const node = await network.add('dc1-a', {
			onFailure: (task) => tasks.push(task),
			async send() {
				if (isBroken) {
					throw new Error('broken');
				}

				return undefined;
			},
		});
		await clock.runTo(5000);
		node.control.membership.receive({
			type: 'probe',
			sequence: 1,
			members: [createMember('dc1-b', {state: 'active'})],
			configurationVersion: 0,
		});
		node.freeze();
		await clock.runTo(15_000);
		isBroken = true;
		node.thaw();
		await clock.runTo(20_000);
		expect(tasks).to.include('resume');
		expect(node.control.membership.isSuspended()).to.equal(false);
		node.kill();
	});
});
