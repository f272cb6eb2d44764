/**
 * The load patterns. Each has a baseline period, a trigger period and a recovery
 * period. Except in `light`, the recovery period is longer than any trigger, so
 * that an overload that outlasts its cause is visible (Bronson et al., HotOS
 * 2021).
 */
import {longOperation, operations, type Operation} from './deployment.js';

/** Values of `--scenario`. */
export const scenarioNames = [
	'burst',
	'heavy-callers',
	'slow-target',
	'long-among-short',
	'saturation',
	'deep-slowdown',
	'cold-start',
	'light',
] as const;
export type ScenarioName = (typeof scenarioNames)[number];

/** A separate stream of demand, such as that of a few heavy callers. */
export type Demand = {
	/** Rate of user arrivals, relative to the capacity of the healthy deepest service. */
	load: number;
	operations: Operation[];
	callers: string[];
};

/** One load pattern. */
export type Scenario = {
	name: ScenarioName;
	/** Milliseconds before the trigger. */
	baselineDuration: number;
	/** Milliseconds from the start of the trigger to its end. */
	triggerDuration: number;
	/** Milliseconds of the run after the trigger. */
	recoveryDuration: number;
	/** The demand before and after the trigger. */
	baselineDemand: Demand[];
	/** The demand during the trigger. */
	triggerDemand: Demand[];
	/** Number of targets of the deepest service that are replaced by cold ones at the start of the trigger. */
	replacedTargets: number;
	/** Factor on the work duration of a target of the deepest service during the trigger. */
	slowdown(target: number): number;
};

/** Work duration of the first request of a cold target, relative to a warm one. */
export const coldStartFactor = 8;

/** Number of requests after which a cold target is warm; its factor decreases linearly until then. */
export const warmUpRequests = 300;

/** Callers that stay within an equal share each. */
const callers = Array.from({length: 40}, (_, index) => `caller-${index + 1}`);
const heavyCallers = ['heavy-1', 'heavy-2', 'heavy-3'];

const ordinary = (load: number): Demand => ({load, operations, callers});

const commonSettings = {
	baselineDuration: 5000,
	triggerDuration: 12_000,
	recoveryDuration: 33_000,
	baselineDemand: [ordinary(0.6)],
	slowdown: () => 1,
	replacedTargets: 0,
};

export const scenarios: Record<ScenarioName, Scenario> = {
	burst: {
		...commonSettings,
		name: 'burst',
		triggerDuration: 5000,
		triggerDemand: [ordinary(4)],
	},
	'heavy-callers': {
		...commonSettings,
		name: 'heavy-callers',
		baselineDemand: [ordinary(0.5)],
		triggerDemand: [
			ordinary(0.5),
			{load: 1.3, operations, callers: heavyCallers},
		],
	},
	'slow-target': {
		...commonSettings,
		name: 'slow-target',
		baselineDemand: [ordinary(0.5)],
		triggerDemand: [ordinary(0.5)],
		slowdown: (target) => (target === 0 ? 10 : 1),
	},
	'long-among-short': {
		...commonSettings,
		name: 'long-among-short',
		triggerDemand: [
			ordinary(0.6),
			{load: 1 / 8, operations: [{...longOperation, share: 1}], callers},
		],
	},
	saturation: {
		...commonSettings,
		name: 'saturation',
		triggerDemand: [ordinary(2)],
	},
	'deep-slowdown': {
		...commonSettings,
		name: 'deep-slowdown',
		triggerDemand: [ordinary(0.9)],
		slowdown: () => 3,
	},
	'cold-start': {
		...commonSettings,
		name: 'cold-start',
		triggerDuration: 10_000,
		triggerDemand: [ordinary(0.6)],
		replacedTargets: 2,
	},
	light: {
		...commonSettings,
		name: 'light',
		recoveryDuration: 6000,
		baselineDemand: [ordinary(0.3)],
		triggerDemand: [ordinary(0.3)],
	},
};

/** Whether a caller is one of the few that exceed their share. */
export function isHeavyCaller(caller: string): boolean {
	return heavyCallers.includes(caller);
}
