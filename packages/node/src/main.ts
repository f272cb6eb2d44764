#!/usr/bin/env node
/** The `egretspoke-node` program: reads its settings, serves, and drains on SIGTERM. */
import process from 'node:process';
import {Command} from 'commander';
import {formatFinding} from '@egretspoke/shared';
import {readNodeSettings, type NodeSettings} from './settings.js';
import {explainStartFailure} from './start-failure.js';
import {startNode, type RunningNode} from './start-node.js';

/** 0: stopped as planned; 1: settings or start refused, or requests were cut; 2: usage. */
const exitCodes = {done: 0, refused: 1, usage: 2} as const;

type Flags = {settings: string; check?: boolean};

const program = new Command()
	.name('egretspoke-node')
	.description('One node of egretspoke, beside its target.')
	.requiredOption('--settings <file>', 'the settings, in YAML')
	.option('--check', 'check the settings and exit')
	.addHelpText(
		'after',
		'\nExample: egretspoke-node --settings node.yaml --check\nExit codes: 0 done, 1 refused or requests cut, 2 usage',
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
	const starting = startNode(nodeSettings);
	// Requests are served before the start is over, and a signal must drain them.
	drainOnSignals(starting);
	try {
		await starting;
	} catch (error) {
		process.stderr.write(`${explainStartFailure(error, nodeSettings)}\n`);
		process.exit(exitCodes.refused);
	}
}

/** The first signal drains; a second one stops immediately and prints the number of cut requests. */
function drainOnSignals(starting: Promise<RunningNode>): void {
	let isDraining = false;
	const stopAtOnce = async () => {
		const node = await starting;
		const cut = await node.stop();
		process.stderr.write(
			`stopped at once on a second signal; ${cut} requests cut\n`,
		);
		process.exit(exitCodes.refused);
	};

	const drain = async () => {
		const node = await starting;
		const cut = await node.drain();
		process.exit(cut === 0 ? exitCodes.done : exitCodes.refused);
	};

	const onSignal = () => {
		void (isDraining ? stopAtOnce() : drain());
		isDraining = true;
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}
