/** Runs one side of the comparison through one scenario. */
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {
	createDownstreamLevels,
	type RoutingCandidate,
} from '@egretspoke/decisions';
import type {Contender} from './contender.js';
import {createDeadlineWheel} from './deadline-wheel.js';
import {
	capacityOf,
	serviceRoles,
	type Deployment,
	type ServiceRole,
} from './deployment.js';
import {createHome} from './home.js';
import {createModelNode, type ModelNode} from './model-node.js';
import type {Scenario} from './scenario.js';
import {createTally, type Tally} from './tally.js';
import {startDemand} from './users.js';
import type {World} from './world.js';

/** How long before the run every target was started, in milliseconds. */
const longAgo = 3_600_000;

/** Runs from the first want to the end of the aftermath. */
export function runContender(
	contender: Contender,
	deployment: Deployment,
	scenario: Scenario,
	seed: number,
): Tally {
	const root = createRandom(seed);
	const demandRandom = root.fork();
	const world = createWorld(contender, deployment, scenario, seed);
	const policyRandom = root.fork();
	buildNodes(world, () => policyRandom.fork());
	announce(world);
	scheduleDemand(world, demandRandom);
	world.clock.setTimer(scenario.calm, () => {
		replaceTargets(world, () => policyRandom.fork());
	});
	world.clock.advanceTo(scenario.calm + scenario.trigger + scenario.aftermath);
	return world.tally;
}

function createWorld(
	contender: Contender,
	deployment: Deployment,
	scenario: Scenario,
	seed: number,
): World {
	const clock = createVirtualClock();
	let identifiers = 0;
	const noise = createRandom(-seed - 1);
	return {
		clock,
		deployment,
		scenario,
		contender,
		tally: createTally(() => clock.now()),
		deadlines: createDeadlineWheel(clock),
		nodes: [],
		nodesByName: new Map(),
		workRandom: noise.fork(),
		reportRandom: noise.fork(),
		nextId: () => String(identifiers++),
	};
}

function buildNodes(world: World, fork: () => World['workRandom']): void {
	for (const role of serviceRoles) {
		const {targets} = world.deployment.services[role];
		for (let index = 0; index < targets; index++) {
			const place = world.nodes.length;
			world.nodes.push(createNode(world, fork, {role, index, place}));
		}
	}
}

function createNode(
	world: World,
	fork: () => World['workRandom'],
	at: {role: ServiceRole; index: number; place: number; startsCold?: boolean},
): ModelNode {
	const {role, index, place, startsCold = false} = at;
	const {contender, deployment} = world;
	const {name: service, slots} = deployment.services[role];
	const dataCentre = `data-centre-${(place % deployment.dataCentres) + 1}`;
	const {policy} = contender;
	const below = createDownstreamLevels();
	const node = createModelNode(world, {
		name: `${service}-${index + 1}${startsCold ? '-new' : ''}`,
		dataCentre,
		role,
		index,
		startsCold,
		since: startsCold ? world.clock.now() : -longAgo,
		routing: policy.createRouting({
			dataCentre,
			downstreamLevels: below,
			random: fork(),
		}),
		below,
		admission: policy.createAdmission({
			dataCentre,
			downstreamLevels: below,
			random: fork(),
			service,
			slots,
		}),
	});
	world.nodesByName.set(node.name, node);
	return node;
}

/** Tells every node the candidates of every service. */
function announce(world: World): void {
	const now = world.clock.now();
	for (const role of serviceRoles) {
		const {name, slots, connections} = world.deployment.services[role];
		const candidates = world.nodes
			.filter((node) => node.role === role)
			.map<RoutingCandidate>((node) => ({
				node: node.name,
				dataCentre: node.dataCentre,
				slots,
				connections,
				since: node.since,
				state: 'active',
			}));
		for (const {routing} of world.nodes) {
			routing.candidatesChanged(name, candidates, now);
		}
	}
}

/** New VMs take the place of some of the deepest targets; the old ones finish what they have. */
function replaceTargets(world: World, fork: () => World['workRandom']): void {
	if (world.scenario.replaced === 0) {
		return;
	}

	for (const [place, {role, index}] of world.nodes.entries()) {
		if (role === 'deep' && index < world.scenario.replaced) {
			world.nodes[place] = createNode(world, fork, {
				role,
				index,
				place,
				startsCold: true,
			});
		}
	}

	announce(world);
}

function scheduleDemand(world: World, random: World['workRandom']): void {
	const {scenario, deployment} = world;
	const capacity = capacityOf(deployment);
	const homes = world.nodes.map((_, place) => createHome(world, place));
	const begin = scenario.calm;
	const end = begin + scenario.trigger;
	const spans = [
		{demands: scenario.base, begin: 0, end: begin},
		{demands: scenario.surge, begin, end},
		{demands: scenario.base, begin: end, end: end + scenario.aftermath},
	];
	for (const span of spans) {
		for (const demand of span.demands) {
			startDemand(world, homes, demand, {
				begin: span.begin,
				end: span.end,
				rate: demand.load * capacity,
				random: random.fork(),
			});
		}
	}
}
