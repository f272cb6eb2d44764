/** `npm run --silent faults -- --seeds A..B [--handler <name>]`: prints one JSON line; exits with 1 on a violation. */
import process from 'node:process';
import {Command, InvalidArgumentError, Option} from 'commander';
import {handlerNames, type HandlerName} from './handlers.js';
import {runSeeds} from './run-seeds.js';

type Range = {first: number; last: number};

const program = new Command('faults')
	.description('runs seeded fault schedules and checks their histories')
	.requiredOption('--seeds <A..B>', 'first and last seed', parseRange)
	.addOption(
		new Option('--handler <name>', 'variant of the node behaviour')
			.choices(handlerNames)
			.default('egretspoke'),
	)
	.parse();

const options = program.opts<{seeds: Range; handler: HandlerName}>();
const summary = await runSeeds(options.seeds, options.handler);
process.stdout.write(`${JSON.stringify(summary)}\n`);
process.exitCode = summary.violations > 0 ? 1 : 0;

function parseRange(text: string): Range {
	const match = /^(?<first>\d{1,9})\.\.(?<last>\d{1,9})$/u.exec(text);
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last);
	if (!match || last < first) {
		throw new InvalidArgumentError('expected two whole numbers, as in 1..100');
	}

	return {first, last};
}
