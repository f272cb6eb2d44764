/** The experiment command. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, CommanderError} from 'commander';
import {variantNames} from './policy-variant.js';
import {deploymentNames} from './deployment.js';
import {
	formatResult,
	runExperiment,
	type ExperimentResult,
	type GoodputPoint,
} from './experiment.js';
import {formatMechanismTable} from './mechanism-table.js';
import {
	formatFindings,
	readOptions,
	type Flags,
	type Options,
} from './options.js';
import {drawGoodput} from './plot.js';
import {scenarioNames, scenarios} from './scenario.js';
import {runSweep} from './sweep.js';

const usageErrorExitCode = 2;

const example = `
Example:
  npm run --silent experiment -- --scenario deep-slowdown --seed 1 --json

Policies: ${variantNames.join(', ')}`;

const command = new Command('experiment')
	.description('Run the same seeded load through the naive policy and ours.')
	.option('--scenario <name>', scenarioNames.join(', '))
	.option(
		'--seed <number>',
		'a whole number; the same seed gives the same output',
	)
	.option('--deployment <name>', deploymentNames.join(' or '), 'akwaaba')
	.option('--json', 'print one JSON object (the default)')
	.option(
		'--policy <name...>',
		'policies to run (default: naive and egretspoke)',
	)
	.option(
		'--sweep <range>',
		'run seeds A..B; print median and worst of each figure',
	)
	.option(
		'--table',
		'print a Markdown table with one row per disabled mechanism',
	)
	.option('--plot <file>', 'write a chart of goodput over time as SVG')
	.addHelpText('after', example)
	.exitOverride()
	.action((flags: Flags) => {
		readOptions(flags).match(runCommand, (findings) => {
			process.stderr.write(`${formatFindings(findings)}\n`);
			process.exitCode = usageErrorExitCode;
		});
	});

try {
	command.parse();
} catch (error) {
	if (!(error instanceof CommanderError)) {
		throw error;
	}

	process.exitCode = error.exitCode === 0 ? 0 : usageErrorExitCode;
}

function runCommand(options: Options): void {
	const {seeds, isSweep, table, plot, ...setup} = options;
	const seed = seeds[0]!;
	if (table) {
		process.stdout.write(formatMechanismTable(setup, seeds));
	} else if (isSweep) {
		process.stdout.write(`${formatResult(runSweep(setup, seeds))}\n`);
	} else {
		const points: GoodputPoint[] = [];
		const result = runExperiment({...setup, seed}, (point) => {
			points.push(point);
		});
		if (plot !== undefined) {
			writeFileSync(plot, drawResult(result, points));
		}

		process.stdout.write(`${formatResult(result)}\n`);
	}
}

function drawResult(result: ExperimentResult, points: GoodputPoint[]): string {
	const {scenario, deployment, seed, limitGoodput} = result;
	return drawGoodput({
		title: `Goodput over time: ${scenario}, ${deployment}, seed ${seed}`,
		scenario: scenarios[scenario],
		limitGoodput,
		points,
	});
}
