/** Simulates one scenario with one policy variant. */
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {
	createDownstreamLevels,
	type RoutingCandidate,
} from '@egretspoke/decisions';
import type {PolicyVariant} from './policy-variant.js';
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
import type {Simulation} from './simulation.js';

/** Age of the initial targets at the start of the run, in milliseconds. */
const targetAge = 3_600_000;

/** Simulates from the first user arrival to the end of the recovery period. */
export function runVariant(
	variant: PolicyVariant,
	deployment: Deployment,
	scenario: Scenario,
	seed: number,
): Tally {
	const root = createRandom(seed);
	const demandRandom = root.fork();
	const simulation = createSimulation(variant, deployment, scenario, seed);
	const policyRandom = root.fork();
	buildNodes(simulation, () => policyRandom.fork());
	publishCandidates(simulation);
	scheduleDemand(simulation, demandRandom);
	simulation.clock.setTimer(scenario.baselineDuration, () => {
		replaceTargets(simulation, () => policyRandom.fork());
	});
	simulation.clock.advanceTo(
		scenario.baselineDuration +
			scenario.triggerDuration +
			scenario.recoveryDuration,
	);
	return simulation.tally;
}

function createSimulation(
	variant: PolicyVariant,
	deployment: Deployment,
	scenario: Scenario,
	seed: number,
): Simulation {
	const clock = createVirtualClock();
	let identifierCount = 0;
	const noise = createRandom(-seed - 1);
	return {
		clock,
		deployment,
		scenario,
		variant,
		tally: createTally(() => clock.now()),
		deadlines: createDeadlineWheel(clock),
		nodes: [],
		nodesByName: new Map(),
		workRandom: noise.fork(),
		reportRandom: noise.fork(),
		nextId: () => String(identifierCount++),
	};
}

function buildNodes(
	simulation: Simulation,
	forkRandom: () => Simulation['workRandom'],
): void {
	for (const role of serviceRoles) {
		const {targets} = simulation.deployment.services[role];
		for (let index = 0; index < targets; index++) {
			const place = simulation.nodes.length;
			simulation.nodes.push(
				createNode(simulation, forkRandom, {role, index, place}),
			);
		}
	}
}

function createNode(
	simulation: Simulation,
	forkRandom: () => Simulation['workRandom'],
	at: {role: ServiceRole; index: number; place: number; startsCold?: boolean},
): ModelNode {
	const {role, index, place, startsCold = false} = at;
	const {variant, deployment} = simulation;
	const {name: service, slots} = deployment.services[role];
	const dataCentre = `data-centre-${(place % deployment.dataCentres) + 1}`;
	const {policy} = variant;
	const downstreamLevels = createDownstreamLevels();
	const node = createModelNode(simulation, {
		name: `${service}-${index + 1}${startsCold ? '-new' : ''}`,
		dataCentre,
		role,
		index,
		startsCold,
		since: startsCold ? simulation.clock.now() : -targetAge,
		routing: policy.createRouting({
			dataCentre,
			downstreamLevels,
			random: forkRandom(),
		}),
		downstreamLevels,
		admission: policy.createAdmission({
			dataCentre,
			downstreamLevels,
			random: forkRandom(),
			service,
			slots,
		}),
	});
	simulation.nodesByName.set(node.name, node);
	return node;
}

/** Passes the candidates of every service to the routing of every node. */
function publishCandidates(simulation: Simulation): void {
	const now = simulation.clock.now();
	for (const role of serviceRoles) {
		const {name, slots, connections} = simulation.deployment.services[role];
		const candidates = simulation.nodes
			.filter((node) => node.role === role)
			.map<RoutingCandidate>((node) => ({
				node: node.name,
				dataCentre: node.dataCentre,
				slots,
				connections,
				since: node.since,
				state: 'active',
			}));
		for (const {routing} of simulation.nodes) {
			routing.candidatesChanged(name, candidates, now);
		}
	}
}

/** Replaces targets of the deepest service by cold ones on new VMs; the old ones finish their requests. */
function replaceTargets(
	simulation: Simulation,
	forkRandom: () => Simulation['workRandom'],
): void {
	if (simulation.scenario.replacedTargets === 0) {
		return;
	}

	for (const [place, {role, index}] of simulation.nodes.entries()) {
		if (role === 'deep' && index < simulation.scenario.replacedTargets) {
			simulation.nodes[place] = createNode(simulation, forkRandom, {
				role,
				index,
				place,
				startsCold: true,
			});
		}
	}

	publishCandidates(simulation);
}

function scheduleDemand(
	simulation: Simulation,
	random: Simulation['workRandom'],
): void {
	const {scenario, deployment} = simulation;
	const capacity = capacityOf(deployment);
	const homes = simulation.nodes.map((_, place) =>
		createHome(simulation, place),
	);
	const begin = scenario.baselineDuration;
	const end = begin + scenario.triggerDuration;
	const spans = [
		{demands: scenario.baselineDemand, begin: 0, end: begin},
		{demands: scenario.triggerDemand, begin, end},
		{
			demands: scenario.baselineDemand,
			begin: end,
			end: end + scenario.recoveryDuration,
		},
	];
	for (const span of spans) {
		for (const demand of span.demands) {
			startDemand(simulation, homes, demand, {
				begin: span.begin,
				end: span.end,
				rate: demand.load * capacity,
				random: random.fork(),
			});
		}
	}
}
