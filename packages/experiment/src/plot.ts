/** Goodput over time as a chart, the same bytes for the same points. */
import {line, plot, rectX, ruleY, selectLast, text} from '@observablehq/plot';
import {parseHTML} from 'linkedom';
import type {GoodputPoint} from './experiment.js';
import type {Scenario} from './scenario.js';

/** What the chart shows. */
export type GoodputChart = {
	title: string;
	scenario: Scenario;
	limitGoodput: number;
	points: GoodputPoint[];
};

const millisecondsPerSecond = 1000;

/** Without it a viewer does not take the file for a chart. */
const namespace = 'http://www.w3.org/2000/svg';

/** Draws the chart as the text of an SVG file. */
export function drawGoodput(chart: GoodputChart): string {
	const {scenario, points, limitGoodput, title} = chart;
	// Without the browser's library there is no type for a document; the plotting library accepts linkedom's.
	const {document} = parseHTML(
		'<!doctype html><html><body></body></html>',
	) as unknown as {
		document: never;
	};
	const trigger = {
		begin: scenario.baselineDuration / millisecondsPerSecond,
		end:
			(scenario.baselineDuration + scenario.triggerDuration) /
			millisecondsPerSecond,
	};
	const figure = plot({
		document,
		width: 900,
		height: 360,
		ariaLabel: title,
		x: {label: 'seconds'},
		y: {label: 'whole requests a second', grid: true, zero: true},
		color: {legend: false, scheme: 'Dark2'},
		marks: [
			rectX([trigger], {x1: 'begin', x2: 'end', fill: '#eee'}),
			ruleY([limitGoodput], {
				stroke: '#888',
				strokeDasharray: '4 3',
			}),
			ruleY([0]),
			line(points, {x: 'second', y: 'goodput', stroke: 'policy'}),
			text(
				points,
				selectLast({
					x: 'second',
					y: 'goodput',
					z: 'policy',
					text: 'policy',
					textAnchor: 'end',
					dy: -10,
				}),
			),
		],
	}) as unknown as {outerHTML: string};
	return `${figure.outerHTML.replace('<svg ', `<svg xmlns="${namespace}" `)}\n`;
}
