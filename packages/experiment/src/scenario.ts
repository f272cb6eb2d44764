/**
 * The load patterns. Each runs calmly for a while, then its trigger comes and
 * goes, then it runs on for longer than any trigger, so that an overload that
 * outlasts its cause is seen as such (Bronson et al., HotOS 2021).
 */
import {longOperation, operations, type Operation} from './deployment.js';

/** The names under which a load pattern can be asked for. */
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

/** A stream of demand of its own, such as that of a few heavy callers. */
export type Demand = {
	/** Wants a second, as a share of the healthy capacity. */
	load: number;
	operations: Operation[];
	callers: string[];
};

/** One load pattern. */
export type Scenario = {
	name: ScenarioName;
	/** Milliseconds of calm before the trigger. */
	baselineDuration: number;
	/** Milliseconds from the trigger's begin to its end. */
	triggerDuration: number;
	/** Milliseconds that the run goes on after the trigger. */
	recoveryDuration: number;
	/** The demand before and after the trigger. */
	baselineDemand: Demand[];
	/** The demand during the trigger. */
	triggerDemand: Demand[];
	/** How many of the deepest targets are replaced by cold ones when the trigger begins. */
	replacedTargets: number;
	/** By how much the work of one of the deepest targets takes longer during the trigger. */
	slowdown(target: number): number;
};

/** How much longer than a warm one a target takes for its first request. */
export const coldStartFactor = 8;

/** After so many requests a cold target is warm; in between, its factor falls evenly. */
export const warmUpRequests = 300;

/** Callers that each keep within an equal share. */
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

/** Whether a caller is one of the few that ask for more than their share. */
export function isHeavyCaller(caller: string): boolean {
	return heavyCallers.includes(caller);
}
