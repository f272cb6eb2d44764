/** Many seeds as two figures a field: the median and the worst. */
import {runExperiment, type ExperimentSetup} from './experiment.js';
import type {Figures} from './figures.js';

/** The median and the worst over the seeds; undefined where a figure isn't known or never came about. */
export type SeedSummary = {
	median: number | undefined;
	worst: number | undefined;
	/** The seed that gave the worst. */
	worstSeed: number;
};

/** Every figure of one policy over the seeds. */
export type FigureSummaries = Record<keyof Figures, SeedSummary>;

/** What a sweep gives. */
export type SweepResult = Omit<ExperimentSetup, 'seed' | 'policies'> & {
	seeds: number[];
	limitGoodput: SeedSummary;
	policies: Record<string, FigureSummaries>;
};

/** Which end of each figure is the worse one. */
const worseDirections: Record<keyof Figures, 'lower' | 'higher'> = {
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
		limitGoodput: summarizeSeeds(
			results.map(({limitGoodput}) => limitGoodput),
			seeds,
			'lower',
		),
		policies: Object.fromEntries(
			setup.policies.map((name) => [
				name,
				summarizeFigures(
					results.map(({policies}) => policies[name]!),
					seeds,
				),
			]),
		),
	};
}

function summarizeFigures(rows: Figures[], seeds: number[]): FigureSummaries {
	const names = Object.keys(worseDirections) as Array<keyof Figures>;
	return Object.fromEntries(
		names.map((name) => [
			name,
			summarizeSeeds(
				rows.map((row) => row[name]),
				seeds,
				worseDirections[name],
			),
		]),
	) as FigureSummaries;
}

/**
 * The median and the worst. A figure that isn't there, such as a recovery
 * that never came, counts as the worst of all.
 */
export function summarizeSeeds(
	values: Array<number | undefined>,
	seeds: number[],
	worseDirection: 'lower' | 'higher',
): SeedSummary {
	const sign = worseDirection === 'higher' ? 1 : -1;
	const ranked = values
		.map((value, index) => ({value, seed: seeds[index]!}))
		.toSorted(
			(left, right) => sortKey(left.value, sign) - sortKey(right.value, sign),
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

function sortKey(value: number | undefined, sign: number): number {
	return value === undefined ? Number.MAX_VALUE : value * sign;
}
