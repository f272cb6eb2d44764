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
	calm: number;
	/** Milliseconds from the trigger's begin to its end. */
	trigger: number;
	/** Milliseconds that the run goes on after the trigger. */
	aftermath: number;
	/** The demand before and after the trigger. */
	base: Demand[];
	/** The demand during the trigger. */
	surge: Demand[];
	/** How many of the deepest targets are replaced by cold ones when the trigger begins. */
	replaced: number;
	/** By how much the work of one of the deepest targets takes longer during the trigger. */
	slowdown(target: number): number;
};

/** How much longer than a warm one a target takes for its first request. */
export const coldFactor = 8;

/** After so many requests a cold target is warm; in between, its factor falls evenly. */
export const warmAfter = 300;

/** Callers that each keep within an equal share. */
const callers = Array.from({length: 40}, (_, index) => `caller-${index + 1}`);
const heavyCallers = ['heavy-1', 'heavy-2', 'heavy-3'];

const ordinary = (load: number): Demand => ({load, operations, callers});

const usual = {
	calm: 5000,
	trigger: 12_000,
	aftermath: 33_000,
	base: [ordinary(0.6)],
	slowdown: () => 1,
	replaced: 0,
};

export const scenarios: Record<ScenarioName, Scenario> = {
	burst: {...usual, name: 'burst', trigger: 5000, surge: [ordinary(4)]},
	'heavy-callers': {
		...usual,
		name: 'heavy-callers',
		base: [ordinary(0.5)],
		surge: [ordinary(0.5), {load: 1.3, operations, callers: heavyCallers}],
	},
	'slow-target': {
		...usual,
		name: 'slow-target',
		base: [ordinary(0.5)],
		surge: [ordinary(0.5)],
		slowdown: (target) => (target === 0 ? 10 : 1),
	},
	'long-among-short': {
		...usual,
		name: 'long-among-short',
		surge: [
			ordinary(0.6),
			{load: 1 / 8, operations: [{...longOperation, share: 1}], callers},
		],
	},
	saturation: {...usual, name: 'saturation', surge: [ordinary(2)]},
	'deep-slowdown': {
		...usual,
		name: 'deep-slowdown',
		surge: [ordinary(0.9)],
		slowdown: () => 3,
	},
	'cold-start': {
		...usual,
		name: 'cold-start',
		trigger: 10_000,
		surge: [ordinary(0.6)],
		replaced: 2,
	},
	light: {
		...usual,
		name: 'light',
		aftermath: 6000,
		base: [ordinary(0.3)],
		surge: [ordinary(0.3)],
	},
};

/** Whether a caller is one of the few that ask for more than their share. */
export function isHeavy(caller: string): boolean {
	return heavyCallers.includes(caller);
}
