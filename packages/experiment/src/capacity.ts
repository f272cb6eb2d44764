/**
 * `limitGoodput`: the most whole requests a second that the capacity allows
 * during the overload. It is computed, not measured, from slots, mean service
 * times and the wants that arose, as a flow in small steps:
 *
 * - The slots give `slots` milliseconds of work a millisecond and target. The
 *   deepest service's slots divide by its slowdown; a cold target's factor
 *   falls with what it has run, taken as running at full slots.
 * - A want that isn't served in its step waits for the next one; none is lost,
 *   so the limit can only be too high, never too low.
 * - Each step serves the cheapest operations first, which gives the highest
 *   count of requests.
 * - A service above the deepest bounds the rate by its slots over the time for
 *   which a request holds one: its own work and, without any queue, the calls
 *   below it.
 */
import {
	capacityOf,
	meanDeepWork,
	type CallPlan,
	type Deployment,
	type Operation,
	type ServiceRole,
} from './deployment.js';
import {coldStartFactor, warmUpRequests, type Scenario} from './scenario.js';

/** Milliseconds of one step of the flow. */
const step = 10;

/** A want, as far as the limit is concerned. */
export type UserArrival = {
	/** When it arose, in milliseconds of the run. */
	at: number;
	operation: Operation;
};

/** The limit for a scenario and the wants of one run, in whole requests a second. */
export function computeLimit(
	deployment: Deployment,
	scenario: Scenario,
	userArrivals: UserArrival[],
): number {
	const deepCapacity = createDeepCapacity(deployment, scenario);
	const backlogs = createBacklogs(scenario, userArrivals);
	let served = 0;
	for (let elapsed = 0; elapsed < scenario.triggerDuration; elapsed += step) {
		let slotTime = deepCapacity(step);
		for (const backlog of backlogs) {
			backlog.arriveUntil(scenario.baselineDuration + elapsed + step);
			const count = Math.min(backlog.waiting(), slotTime / backlog.cost);
			backlog.serve(count);
			slotTime -= count * backlog.cost;
			served += count;
		}
	}

	const rate = (served * 1000) / scenario.triggerDuration;
	return Math.min(rate, computeUpstreamBound(deployment, scenario));
}

/** Milliseconds for which an operation holds a slot of a service, no queue anywhere. */
export function holdingTime(
	plan: CallPlan,
	role: ServiceRole,
	slowdown: number,
): number {
	const own = plan.role === role ? callDuration(plan, slowdown) : 0;
	return plan.downstreamCalls.reduce(
		(sum, call) => sum + holdingTime(call, role, slowdown),
		own,
	);
}

function callDuration(plan: CallPlan, slowdown: number): number {
	const work =
		(plan.before + plan.after) * (plan.role === 'deep' ? slowdown : 1);
	return (
		work +
		Math.max(
			0,
			...plan.downstreamCalls.map((call) => callDuration(call, slowdown)),
		)
	);
}

/** The wants of one cost, in the order in which they arose. */
function createBacklog(cost: number, instants: number[]) {
	let waiting = 0;
	let next = 0;
	return {
		cost,
		waiting: () => waiting,
		serve(count: number) {
			waiting -= count;
		},
		arriveUntil(instant: number) {
			while (next < instants.length && instants[next]! < instant) {
				next++;
				waiting++;
			}
		},
	};
}

/** The wants that arise during the trigger by what they cost the deepest service, the cheapest first. */
function createBacklogs(scenario: Scenario, userArrivals: UserArrival[]) {
	const end = scenario.baselineDuration + scenario.triggerDuration;
	const byCost = new Map<number, number[]>();
	for (const {at, operation} of userArrivals) {
		if (at >= scenario.baselineDuration && at < end) {
			const cost = holdingTime(operation.plan, 'deep', 1);
			const instants = byCost.get(cost) ?? [];
			instants.push(at);
			byCost.set(cost, instants);
		}
	}

	return [...byCost]
		.toSorted(([left], [right]) => left - right)
		.map(([cost, instants]) => createBacklog(cost, instants));
}

/** The work, in healthy milliseconds, that the deepest slots do in each next step. */
function createDeepCapacity({services}: Deployment, scenario: Scenario) {
	const {targets, slots} = services.deep;
	const run = Array.from({length: targets}, (_, target) =>
		target < scenario.replacedTargets ? 0 : warmUpRequests,
	);
	return (duration: number) => {
		let total = 0;
		for (let target = 0; target < targets; target++) {
			const factor =
				scenario.slowdown(target) * warmUpFactor(run[target] ?? warmUpRequests);
			const work = (slots * duration) / factor;
			run[target]! += work / meanDeepWork;
			total += work;
		}

		return total;
	};
}

/** How much longer a target takes that has run so many requests since it was started. */
export function warmUpFactor(run: number): number {
	const left = Math.max(0, 1 - run / warmUpRequests);
	return 1 + (coldStartFactor - 1) * left;
}

/** The rate that the services above the deepest allow, in requests a second. */
function computeUpstreamBound(
	{services}: Deployment,
	scenario: Scenario,
): number {
	const {targets} = services.deep;
	const slowdowns = Array.from({length: targets}, (_, target) =>
		scenario.slowdown(target),
	);
	const slowdown = Math.min(...slowdowns);
	const mix = operationMix(scenario);
	const roles: ServiceRole[] = ['front', 'middle', 'side'];
	const bounds = roles.map((role) => {
		const holding = mix.reduce(
			(sum, {operation, share}) =>
				sum + share * holdingTime(operation.plan, role, slowdown),
			0,
		);
		return (services[role].targets * services[role].slots * 1000) / holding;
	});
	return Math.min(...bounds);
}

function operationMix(
	scenario: Scenario,
): Array<{operation: Operation; share: number}> {
	const total = scenario.triggerDemand.reduce((sum, {load}) => sum + load, 0);
	return scenario.triggerDemand.flatMap(({load, operations}) =>
		operations.map((operation) => ({
			operation,
			share: (operation.share * load) / total,
		})),
	);
}
