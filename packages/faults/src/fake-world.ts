/** The simulated nodes, targets, network, platform and operators of one run. */
import type {Recorder} from '@egretspoke/history';
import type {Random, VirtualClock} from '@egretspoke/shared';
import {createMemoryPlatform, type MemoryPlatform} from '@egretspoke/stand-ins';
import {createFakeNetwork, type FakeNetwork} from './fake-network.js';
import {fakeService, startFakeNode, type FakeProcess} from './fake-node.js';
import {createFakeTarget, type FakeTarget} from './fake-target.js';
import type {Handlers} from './handlers.js';

/** All components that faults can affect. */
export type FakeWorld = {
	names: string[];
	network: FakeNetwork;
	platform: MemoryPlatform;
	targets: FakeTarget[];
	processes(): FakeProcess[];
	findProcess(name: string): FakeProcess | undefined;
	kill(name: string): void;
	/** Starts a node, unless it is running. */
	start(name: string): void;
	/** Plans and confirms a configuration change at a random node. */
	changeConfiguration(): Promise<void>;
	/** Kills every process. */
	stop(): void;
};

const nodeCount = 4;
const dataCentres = 2;

/** Creates a world and starts its nodes. */
export function createFakeWorld(options: {
	clock: VirtualClock;
	random: Random;
	recorder: Recorder;
	handlers: Handlers;
	/** Fixed sizes instead of random ones. */
	sizes?: {slots: number; ledgerKeys: number};
}): FakeWorld {
	const {clock, random, recorder, handlers} = options;
	const names = Array.from({length: nodeCount}, (_, index) => `vm-${index}`);
	const network = createFakeNetwork(clock, random.fork());
	const platform = createMemoryPlatform({clock});
	const {slots, ledgerKeys} = options.sizes ?? drawSizes(random);
	const targets = names.map((name) =>
		createFakeTarget({
			name,
			slots,
			clock,
			random: random.fork(),
			recorder,
		}),
	);
	const processes = new Map<string, FakeProcess>();
	let changes = 0;

	const start = (name: string) => {
		const index = names.indexOf(name);
		if (processes.has(name)) {
			return;
		}

		const process = startFakeNode({
			name,
			dataCentre: `dc${index % dataCentres}`,
			clock,
			random: random.fork(),
			network,
			platform,
			target: targets[index]!,
			slots,
			ledgerKeys,
			recorder,
			handlers,
			peers: names,
		});
		processes.set(name, process);
	};

	const kill = (name: string) => {
		processes.get(name)?.kill();
		processes.delete(name);
	};

	for (const name of names) {
		start(name);
	}

	return {
		names,
		network,
		platform,
		targets,
		processes: () => [...processes.values()],
		findProcess: (name) => processes.get(name),
		kill,
		start,
		async changeConfiguration() {
			const name = names[random.below(names.length)]!;
			const control = processes.get(name)?.control;
			const plan = await control?.plan({
				author: `operator-${changes}`,
				file: 'intent.yaml',
				document: `service: ${fakeService}\nattempts: ${2 + (changes++ % 4)}\n`,
			});
			if (plan?.isOk()) {
				await control?.confirm(plan.value.id);
			}
		},
		stop() {
			for (const name of names) {
				kill(name);
			}
		},
	};
}

/** Draws the sizes; one run in four has ledgers small enough to fill up. */
function drawSizes(random: Random): {slots: number; ledgerKeys: number} {
	return {
		slots: 2 + random.below(5),
		ledgerKeys: random.below(4) === 0 ? 6 : 1000,
	};
}
