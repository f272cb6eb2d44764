/** Renders docs/EVENTS.md and docs/METRICS.md from the tables of events and metrics. */
import {listEvents} from './event-catalogue.js';
import {metricDefinitions} from './metric-catalogue.js';
import type {MetricDefinition} from './metric-definition.js';

/** A page of the documentation with its full text. */
export type CataloguePage = {file: string; text: string};

/** Renders both pages. */
export function renderCataloguePages(): CataloguePage[] {
	return [
		{file: 'EVENTS.md', text: renderEvents()},
		{file: 'METRICS.md', text: renderMetrics()},
	];
}

const generatedNote =
	'This page is written by `npm run --silent docs` from the tables in `packages/observability/src`; change those, not this.';

function renderEvents(): string {
	const rows = listEvents().map(
		({code, name, level, template, meaning, advice}) =>
			renderRow([
				String(code),
				`\`${name}\``,
				level,
				`\`${template}\``,
				meaning,
				advice,
			]),
	);
	return joinLines([
		'# Events',
		'',
		generatedNote,
		'',
		'Every line of the log carries one of these numbers. 1000 to 1999 are decisions about one request: `logs.sample` chooses by request id which requests are logged, the same ones on every node, and `egretspoke explain <request id>` shows the recent ones whether logged or not. 2000 and above are about the node and always logged when `logs.level` allows.',
		'',
		'On the path of a request an event costs a comparison of levels and a push onto a bounded buffer; lines are formatted and written in batches later. When lines come faster than the output takes them, they are dropped and counted (event 2901, `egretspoke_log_lines_dropped_total`).',
		'',
		renderRow(['Number', 'Name', 'Level', 'Line', 'Meaning', 'What to do']),
		renderRow(['---', '---', '---', '---', '---', '---']),
		...rows,
	]);
}

function renderMetrics(): string {
	const rows = Object.values<MetricDefinition>(metricDefinitions).map(
		({name, type, labels, help, reading}) =>
			renderRow([
				`\`${name}\``,
				type,
				labels.map((label) => `\`${label}\``).join(', '),
				help,
				reading,
			]),
	);
	return joinLines([
		'# Metrics',
		'',
		generatedNote,
		'',
		'Each node serves them at `GET /metrics` of its admin listener; a mesh node, those that begin with `egretspoke_mesh_` and some of the others, at port 9464 of its VM. Durations are in seconds, sizes in bytes. A label takes 100 values at most; whatever comes after is counted under `other`.',
		'',
		renderRow(['Name', 'Type', 'Labels', 'What it shows', 'How to read it']),
		renderRow(['---', '---', '---', '---', '---']),
		...rows,
	]);
}

function renderRow(cells: string[]): string {
	return `| ${cells.map((cell) => cell.replaceAll('|', String.raw`\|`)).join(' | ')} |`;
}

function joinLines(lines: string[]): string {
	return `${lines.join('\n')}\n`;
}
