/** Shows the effect of each mechanism: the same load with one mechanism disabled at a time. */
import {mechanisms} from '@egretspoke/decisions';
import type {ExperimentSetup} from './experiment.js';
import type {Figures} from './figures.js';
import {runSweep, type FigureSummaries} from './sweep.js';

const columns: Array<{heading: string; field: keyof Figures}> = [
	{heading: 'goodput / limit', field: 'goodputShare'},
	{heading: 'essential answered', field: 'essentialGoodput'},
	{heading: 'recovery (s)', field: 'recoverySeconds'},
	{heading: 'amplification', field: 'amplification'},
	{heading: 'wasted work', field: 'wastedWork'},
	{heading: 'within share answered', field: 'answeredWithinShare'},
	{heading: 'slow / healthy p99', field: 'deepTimeRatio'},
];

/** Runs all variants and formats a Markdown table: naive, ours, and ours without each mechanism. */
export function formatMechanismTable(
	setup: Omit<ExperimentSetup, 'seed' | 'policies'>,
	seeds: number[],
): string {
	const policies = [
		'naive',
		'egretspoke',
		...mechanisms.map((mechanism) => `without:${mechanism}`),
	];
	const result = runSweep({...setup, policies}, seeds);
	const headings = ['policy', ...columns.map(({heading}) => heading)];
	const rows = policies.map((name) => [
		name,
		...formatRow(result.policies[name]!),
	]);
	return [
		formatLine(headings),
		formatLine(headings.map(() => '---')),
		...rows.map((row) => formatLine(row)),
		'',
	].join('\n');
}

function formatRow(figures: FigureSummaries): string[] {
	return columns.map(({field}) => {
		const {median} = figures[field];
		return median === undefined ? 'none' : String(median);
	});
}

function formatLine(cells: string[]): string {
	return `| ${cells.join(' | ')} |`;
}
