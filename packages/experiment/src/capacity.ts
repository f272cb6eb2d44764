/**
 * Computes `limitGoodput`: the maximum number of requests per second that the
 * capacity allows during the overload. It is calculated as a flow in small
 * steps from slots, mean service times and the user arrivals. Each step serves
 * the cheapest operations first, which maximizes the count.
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

/** Length of one step of the flow in milliseconds. */
const step = 10;

/** The arrival of a user who needs one operation. */
export type UserArrival = {
	/** Milliseconds since the start of the run. */
	at: number;
	operation: Operation;
};

/** Computes the limit for a scenario and the user arrivals of one run, in requests per second. */
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

/** Time for which an operation holds a slot of a service without queueing, in milliseconds. */
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

/**
 * Queue of the arrivals whose operations have the same cost, oldest first. A
 * user who is not served in one step waits for the next; none is lost, so that
 * the limit can only be too high, never too low.
 */
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

/** Groups the arrivals during the trigger by their cost at the deepest service, cheapest first. */
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

/**
 * Returns a function that computes the work that the deepest service does in
 * the next step, in milliseconds of a healthy target. Each target does `slots`
 * milliseconds of work per millisecond, divided by the slowdown; the factor of
 * a cold target decreases with the requests it has run, assuming full slots.
 */
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

/** Factor on the work duration of a target that has run this number of requests since its start. */
export function warmUpFactor(run: number): number {
	const left = Math.max(0, 1 - run / warmUpRequests);
	return 1 + (coldStartFactor - 1) * left;
}

/**
 * Maximum rate that the services above the deepest allow, in requests per
 * second. Each service limits the rate to its slots divided by the time for
 * which a request holds one: its work plus its downstream calls, without
 * queueing.
 */
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
