/** The command line of the benchmark of decisions. */
import process from 'node:process';
import {Command} from 'commander';
import {measureDecisions, type DecisionCosts} from './decision-benchmark.js';

/** The targets of today and those of the two-year size. */
const sizes = [26, 570];

const program = new Command()
	.name('benchmark:decisions')
	.description('Measures what a decision costs, by targets known.')
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
process.stdout.write(
	json
		? `${JSON.stringify({decisions: costs})}\n`
		: costs.map((cost) => format(cost)).join(''),
);

function format({
	targets,
	nanoseconds,
}: {
	targets: number;
	nanoseconds: DecisionCosts;
}): string {
	const parts = Object.entries(nanoseconds).map(
		([decision, cost]) => `${decision} ${cost} ns`,
	);
	return `${targets} targets: ${parts.join(', ')}\n`;
}
