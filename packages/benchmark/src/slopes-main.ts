/**
 * Command line of the control benchmark. Each number of nodes is measured in a
 * separate process, so that processor time and heap are not shared.
 */
import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import {Command} from 'commander';
import {measureSlope, type SlopeResult} from './control-slopes.js';

type Flags = {nodes: string; json?: boolean; one?: boolean};

const runFile = promisify(execFile);

const program = new Command()
	.name('slopes')
	.description(
		'Measures the cost of control for a node by the number of nodes.',
	)
	.option('--nodes <list>', 'numbers of nodes', '3,12,48,96,570')
	.option('--one', 'measure a single number of nodes in this process')
	.option('--json', 'print one JSON object')
	.addHelpText('after', '\nExample: npm run --silent slopes -- --json');

program.parse();
const flags = program.opts<Flags>();
const counts = flags.nodes.split(',').map(Number);
const results = flags.one
	? [await measureSlope(counts[0]!)]
	: await Promise.all(
			counts.map(async (count) => measureInChildProcess(count)),
		);
process.stdout.write(
	flags.json ? `${JSON.stringify({results})}\n` : format(results),
);

async function measureInChildProcess(count: number): Promise<SlopeResult> {
	const {stdout} = await runFile(process.execPath, [
		...process.execArgv,
		process.argv[1]!,
		'--one',
		'--json',
		'--nodes',
		String(count),
	]);
	const {results: found} = JSON.parse(stdout) as {results: SlopeResult[]};
	return found[0]!;
}

function format(rows: SlopeResult[]): string {
	const lines = rows.flatMap((row) =>
		(
			[
				'steady',
				'configurationChange',
				'rollingRestart',
				'dataCentreReturns',
			] as const
		).map((phase) => {
			const figures = row[phase];
			return [
				String(row.nodes).padStart(4),
				phase.padEnd(20),
				`${figures.bytesPerSecond} B/s`,
				`${figures.messagesPerSecond} messages/s`,
				`${figures.processorShare}% CPU`,
				`${figures.tableReadsPerSecond} reads/s`,
				`${figures.tableWritesPerSecond} writes/s`,
			].join('  ');
		}),
	);
	return `${lines.join('\n')}\n`;
}
