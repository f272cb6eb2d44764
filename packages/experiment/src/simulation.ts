/**
 * The shared state of one run: the clock, the random streams, the nodes and the
 * network between them. The network only delays messages; it neither loses nor
 * reorders them on one connection.
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
	/** Timers for the deadlines of attempts and client tries. */
	deadlines: DeadlineWheel;
	/** Nodes by place; a replacement takes the place of the node that it replaces. */
	nodes: ModelNode[];
	nodesByName: Map<string, ModelNode>;
	/** Random stream for work durations. */
	workRandom: Random;
	/** Random stream for stale and wrong load reports. */
	reportRandom: Random;
	nextId(): string;
};

/** Delay from one node to another in milliseconds, including the cost of a first connection. */
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

/** Draws a log-normal duration with the given mean. */
export function drawWork(random: Random, mean: number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
	const normal = radius * Math.cos(2 * Math.PI * random.fraction());
	return mean * Math.exp(workLogDeviation * normal - workLogDeviation ** 2 / 2);
}
