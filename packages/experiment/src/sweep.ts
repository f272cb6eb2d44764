/** Many seeds as two figures a field: the median and the worst. */
import {runExperiment, type ExperimentSetup} from './experiment.js';
import type {Figures} from './figures.js';

/** The median and the worst over the seeds; undefined where a figure isn't known or never came about. */
export type Spread = {
	median: number | undefined;
	worst: number | undefined;
	/** The seed that gave the worst. */
	worstSeed: number;
};

/** Every figure of one policy over the seeds. */
export type FigureSpreads = Record<keyof Figures, Spread>;

/** What a sweep gives. */
export type SweepResult = Omit<ExperimentSetup, 'seed' | 'policies'> & {
	seeds: number[];
	limitGoodput: Spread;
	policies: Record<string, FigureSpreads>;
};

/** Which end of each figure is the worse one. */
const worse: Record<keyof Figures, 'lower' | 'higher'> = {
	goodput: 'lower',
	goodputShare: 'lower',
	essentialGoodput: 'lower',
	recoverySeconds: 'higher',
	amplification: 'higher',
	notRunThatRan: 'higher',
	ranTwice: 'higher',
	wastedWork: 'higher',
	offered: 'higher',
	goodputBefore: 'lower',
	goodputAtEnd: 'lower',
	answeredWithinShare: 'lower',
	answeredOverShare: 'lower',
	deepTime99: 'higher',
	deepTime99Healthy: 'higher',
	deepTimeRatio: 'higher',
};

/** Runs every seed and sums up. */
export function runSweep(
	setup: Omit<ExperimentSetup, 'seed'>,
	seeds: number[],
): SweepResult {
	const results = seeds.map((seed) => runExperiment({...setup, seed}));
	const {scenario, deployment} = setup;
	return {
		scenario,
		deployment,
		seeds,
		limitGoodput: spread(
			results.map(({limitGoodput}) => limitGoodput),
			seeds,
			'lower',
		),
		policies: Object.fromEntries(
			setup.policies.map((name) => [
				name,
				spreadFigures(
					results.map(({policies}) => policies[name]!),
					seeds,
				),
			]),
		),
	};
}

function spreadFigures(rows: Figures[], seeds: number[]): FigureSpreads {
	const names = Object.keys(worse) as Array<keyof Figures>;
	return Object.fromEntries(
		names.map((name) => [
			name,
			spread(
				rows.map((row) => row[name]),
				seeds,
				worse[name],
			),
		]),
	) as FigureSpreads;
}

/**
 * The median and the worst. A figure that isn't there, such as a recovery
 * that never came, counts as the worst of all.
 */
export function spread(
	values: Array<number | undefined>,
	seeds: number[],
	worseEnd: 'lower' | 'higher',
): Spread {
	const sign = worseEnd === 'higher' ? 1 : -1;
	const ranked = values
		.map((value, index) => ({value, seed: seeds[index]!}))
		.toSorted(
			(left, right) => badness(left.value, sign) - badness(right.value, sign),
		);
	const lower = ranked[Math.floor((ranked.length - 1) / 2)]!.value;
	const upper = ranked[Math.ceil((ranked.length - 1) / 2)]!.value;
	const last = ranked.at(-1)!;
	const median =
		lower === undefined || upper === undefined
			? undefined
			: Math.round(((lower + upper) / 2) * 10_000) / 10_000;
	return {median, worst: last.value, worstSeed: last.seed};
}

function badness(value: number | undefined, sign: number): number {
	return value === undefined ? Number.MAX_VALUE : value * sign;
}
