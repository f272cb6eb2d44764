/** Draws goodput over time; the output is byte-identical for the same points. */
import {line, plot, rectX, ruleY, selectLast, text} from '@observablehq/plot';
import {parseHTML} from 'linkedom';
import type {GoodputPoint} from './experiment.js';
import type {Scenario} from './scenario.js';

/** The content of the chart. */
export type GoodputChart = {
	title: string;
	scenario: Scenario;
	limitGoodput: number;
	points: GoodputPoint[];
};

const millisecondsPerSecond = 1000;

/** Viewers do not recognize the file as an image without the namespace. */
const namespace = 'http://www.w3.org/2000/svg';

/** Draws the chart and returns the text of an SVG file. */
export function drawGoodput(chart: GoodputChart): string {
	const {scenario, points, limitGoodput, title} = chart;
	// The compiler options exclude the DOM library, so Document has no type; Plot accepts linkedom's.
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
		y: {label: 'goodput (requests per second)', grid: true, zero: true},
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
