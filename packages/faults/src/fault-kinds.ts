/** The faults that a schedule can inject; each is injected once and reverted after its duration. */
import type {Random} from '@egretspoke/shared';
import type {FakeWorld} from './fake-world.js';

/** Names of the faults, as printed in the summary. */
export const faultKinds = [
	'delay',
	'cut',
	'partition',
	'kill',
	'freeze',
	'targetSlow',
	'targetKilled',
	'targetLosesAnswers',
	'targetCutsAnswers',
	'targetSheds',
	'targetUnreachable',
	'leave',
	'platformDown',
	'platformSlow',
	'platformLosesAnswers',
	'operatorRace',
] as const;

export type FaultKind = (typeof faultKinds)[number];

/** Injects the fault; the returned function reverts it. */
type Fault = (world: FakeWorld, random: Random) => () => void;

const faultProbability = 0.6;

/** The faults by name. */
export const faults: Record<FaultKind, Fault> = {
	delay({network}) {
		network.setDelay(20, 400);
		return () => {
			network.setDelay(0.2, 1.5);
		};
	},
	cut({network, names}, random) {
		network.cut(pick(names, random));
		return recoverNothing;
	},
	partition({network, names}, random) {
		const width = 1 + random.below(names.length - 1);
		network.partition(new Set(names.slice(0, width)));
		return () => {
			network.heal();
		};
	},
	kill(world, random) {
		const name = pick(world.names, random);
		world.kill(name);
		return () => {
			world.start(name);
		};
	},
	freeze({findProcess, names}, random) {
		const process = findProcess(pick(names, random));
		process?.execution.freeze();
		return () => {
			process?.execution.thaw();
		};
	},
	targetSlow: (world, random) =>
		setTargetFault(world, random, {slowness: 5 + random.below(60)}),
	targetKilled({targets}, random) {
		pick(targets, random).killRunning();
		return recoverNothing;
	},
	targetLosesAnswers: (world, random) =>
		setTargetFault(world, random, {lost: faultProbability}),
	targetCutsAnswers: (world, random) =>
		setTargetFault(world, random, {cut: faultProbability}),
	targetSheds: (world, random) =>
		setTargetFault(world, random, {shed: faultProbability}),
	targetUnreachable: (world, random) =>
		setTargetFault(world, random, {unreachable: faultProbability}),
	leave({findProcess, names}, random) {
		findProcess(pick(names, random))?.control.leave();
		return recoverNothing;
	},
	platformDown({platform}) {
		platform.faults.down = true;
		return () => {
			platform.faults.down = false;
		};
	},
	platformSlow({platform}, random) {
		platform.faults.delay = 200 + random.below(3000);
		return () => {
			platform.faults.delay = 0;
		};
	},
	platformLosesAnswers({platform}, random) {
		platform.faults.lostAnswers += 1 + random.below(4);
		return recoverNothing;
	},
	operatorRace(world) {
		void world.changeConfiguration();
		void world.changeConfiguration();
		return recoverNothing;
	},
};

function setTargetFault(
	{targets}: FakeWorld,
	random: Random,
	change: Partial<FakeWorld['targets'][number]['faults']>,
): () => void {
	const target = pick(targets, random);
	const before = {...target.faults};
	Object.assign(target.faults, change);
	return () => {
		Object.assign(target.faults, before);
	};
}

function pick<T>(items: readonly T[], random: Random): T {
	return items[random.below(items.length)]!;
}

function recoverNothing(): void {
	// The fault is instantaneous, so there is nothing to revert.
}
