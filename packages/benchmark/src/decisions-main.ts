/** Command line of the decision benchmark. */
import process from 'node:process';
import {Command} from 'commander';
import {measureDecisions} from './decision-benchmark.js';
import {measureQuarantine} from './quarantine-cost.js';

/** Current number of targets, and the number expected in two years. */
const sizes = [26, 570];

const program = new Command()
	.name('benchmark:decisions')
	.description('Measures the cost of a decision by the number of targets.')
	.option('--json', 'print one JSON object')
	.addHelpText(
		'after',
		'\nExample: npm run --silent benchmark:decisions -- --json',
	);

program.parse();
const {json} = program.opts<{json?: boolean}>();
const costs = sizes.map((targets) => ({
	targets,
	nanoseconds: measureDecisions(targets),
}));
const quarantine = measureQuarantine();
process.stdout.write(
	json
		? `${JSON.stringify({decisions: costs, quarantine})}\n`
		: [
				...costs.map(
					({targets, nanoseconds}) =>
						`${targets} targets: ${format(nanoseconds, ' ns')}`,
				),
				`quarantine: ${format(quarantine, ' ns')}`,
			].join(''),
);

function format(costs: Record<string, number>, unit: string): string {
	const parts = Object.entries(costs).map(
		([name, cost]) => `${name} ${cost}${unit}`,
	);
	return `${parts.join(', ')}\n`;
}
