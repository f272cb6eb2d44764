/** Runs an experiment for several seeds and reports the median and the worst of each figure. */
import {runExperiment, type ExperimentSetup} from './experiment.js';
import type {Figures} from './figures.js';

/** The median and the worst over the seeds; undefined if the figure is undefined there, such as a recovery that never happened. */
export type SeedSummary = {
	median: number | undefined;
	worst: number | undefined;
	/** The seed with the worst value. */
	worstSeed: number;
};

/** Summaries of all figures of one policy. */
export type FigureSummaries = Record<keyof Figures, SeedSummary>;

/** The result of a sweep. */
export type SweepResult = Omit<ExperimentSetup, 'seed' | 'policies'> & {
	seeds: number[];
	limitGoodput: SeedSummary;
	policies: Record<string, FigureSummaries>;
};

/** Whether lower or higher values of a figure are worse. */
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

/** Runs the experiment for every seed and summarizes the figures. */
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
 * Computes the median and the worst. An undefined value, such as a recovery
 * that never happened, counts as the worst.
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
