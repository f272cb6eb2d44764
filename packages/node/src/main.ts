#!/usr/bin/env node
/** The `egretspoke-node` program: reads its settings, serves, and drains on SIGTERM. */
import process from 'node:process';
import {Command} from 'commander';
import {createSystemClock, formatFinding} from '@egretspoke/shared';
import {exitCodes, runNodeProcess} from './node-process.js';
import {readNodeSettings, type NodeSettings} from './settings.js';
import {explainStartFailure} from './start-failure.js';
import {startNode} from './start-node.js';

type Flags = {settings: string; check?: boolean};

const program = new Command()
	.name('egretspoke-node')
	.description('One node of egretspoke, beside its target.')
	.requiredOption('--settings <file>', 'the settings, in YAML')
	.option('--check', 'check the settings and exit')
	.addHelpText(
		'after',
		'\nExample: egretspoke-node --settings node.yaml --check\nExit codes: 0 done, 1 refused or requests cut, 2 usage, 3 an internal failure',
	)
	.exitOverride((error) => {
		process.exit(error.exitCode === 0 ? exitCodes.done : exitCodes.usage);
	});

program.parse();
const {settings: file, check} = program.opts<Flags>();
const settings = readNodeSettings(file);
if (settings.isErr()) {
	for (const finding of settings.error) {
		process.stderr.write(`${formatFinding(finding)}\n`);
	}

	process.exitCode = exitCodes.refused;
} else if (check) {
	process.stdout.write(`${file}: no findings\n`);
} else {
	await serve(settings.value);
}

async function serve(nodeSettings: NodeSettings): Promise<void> {
	// Without a listener, a closed pipe at an output would end the process.
	process.stdout.on('error', () => undefined);
	process.stderr.on('error', () => undefined);
	await runNodeProcess({
		host: {
			on(event, listener) {
				process.on(event, listener);
			},
			writeError(line) {
				process.stderr.write(`${line}\n`);
			},
			exit(code) {
				process.exit(code);
			},
		},
		clock: createSystemClock({keepAlive: true}),
		drainTime: nodeSettings.timings.drain,
		start: async (abandoned) => startNode(nodeSettings, {abandoned}),
		explainStartFailure: (error) => explainStartFailure(error, nodeSettings),
	});
}
