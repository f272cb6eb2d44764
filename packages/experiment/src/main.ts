/** The experiment command. */
import process from 'node:process';
import {Command, CommanderError} from 'commander';
import {contenderNames} from './contender.js';
import {deploymentNames} from './deployment.js';
import {print, runExperiment} from './experiment.js';
import {formatFindings, readOptions, type Flags} from './options.js';
import {scenarioNames} from './scenario.js';

const badUsage = 2;

const example = `
Example:
  npm run --silent experiment -- --scenario deep-slowdown --seed 1 --json

Policies: ${contenderNames.join(', ')}`;

const command = new Command('experiment')
	.description('The same seeded load through the naive policy and ours.')
	.option('--scenario <name>', scenarioNames.join(', '))
	.option('--seed <number>', 'a whole number; the same seed prints the same')
	.option('--deployment <name>', deploymentNames.join(' or '), 'akwaaba')
	.option('--json', 'print one JSON object (the only form there is)')
	.option('--policy <name...>', 'the policies to run instead of both')
	.option('--sweep <range>', 'seeds A..B: median and worst of each figure')
	.option('--table', 'print one row a mechanism switched off, as markdown')
	.option('--plot <file>', 'write goodput over time as SVG')
	.addHelpText('after', example)
	.exitOverride()
	.action((flags: Flags) => {
		readOptions(flags).match(
			(options) => {
				const seed = options.seeds[0]!;
				const result = runExperiment({...options, seed});
				process.stdout.write(`${print(result)}\n`);
			},
			(findings) => {
				process.stderr.write(`${formatFindings(findings)}\n`);
				process.exitCode = badUsage;
			},
		);
	});

try {
	command.parse();
} catch (error) {
	if (!(error instanceof CommanderError)) {
		throw error;
	}

	process.exitCode = error.exitCode === 0 ? 0 : badUsage;
}
