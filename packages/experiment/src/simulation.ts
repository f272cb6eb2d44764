/**
 * The shared state of one run: the clock, the streams of random numbers, the
 * nodes and the network between them. The network only delays; it neither
 * loses nor reorders on one connection.
 */
import type {Random, VirtualClock} from '@egretspoke/shared';
import type {PolicyVariant} from './policy-variant.js';
import type {DeadlineWheel} from './deadline-wheel.js';
import {
	connectionCost,
	intraDataCentreDelay,
	type Deployment,
} from './deployment.js';
import type {ModelNode} from './model-node.js';
import {warmUpFactor} from './capacity.js';
import type {Scenario} from './scenario.js';
import type {Tally} from './tally.js';

/** The state of one run. */
export type Simulation = {
	clock: VirtualClock;
	deployment: Deployment;
	scenario: Scenario;
	variant: PolicyVariant;
	tally: Tally;
	/** The deadlines of attempts and tries. */
	deadlines: DeadlineWheel;
	/** Nodes by place; a replacement takes the place of the node that it replaces. */
	nodes: ModelNode[];
	nodesByName: Map<string, ModelNode>;
	/** Draws for the durations of work. */
	workRandom: Random;
	/** Draws for late and wrong load reports. */
	reportRandom: Random;
	nextId(): string;
};

/** Milliseconds from one node to another, the cost of a first connection included. */
export function delayBetween(
	simulation: Simulation,
	from: ModelNode,
	to: ModelNode,
): number {
	if (from === to) {
		return 0;
	}

	const delay =
		from.dataCentre === to.dataCentre
			? intraDataCentreDelay
			: simulation.deployment.interDataCentreDelay;
	if (from.connectedNodes.has(to)) {
		return delay;
	}

	from.connectedNodes.add(to);
	to.connectedNodes.add(from);
	return delay + connectionCost;
}

/** Whether the trigger is active. */
export function isTriggered({clock, scenario}: Simulation): boolean {
	const since = clock.now() - scenario.baselineDuration;
	return since >= 0 && since < scenario.triggerDuration;
}

/** Current factor on the duration of work at a node. */
export function slowdownAt(simulation: Simulation, node: ModelNode): number {
	if (node.role !== 'deep') {
		return 1;
	}

	const slow = isTriggered(simulation)
		? simulation.scenario.slowdown(node.index)
		: 1;
	return slow * (node.startsCold ? warmUpFactor(node.completed()) : 1);
}

/** Standard deviation of the logarithm of an operation's work. */
const workLogDeviation = 0.4;

/** Draws a duration around its mean, log-normal. */
export function drawWork(random: Random, mean: number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
	const normal = radius * Math.cos(2 * Math.PI * random.fraction());
	return mean * Math.exp(workLogDeviation * normal - workLogDeviation ** 2 / 2);
}
