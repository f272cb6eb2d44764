/** `egretspoke targets`: the targets that a node knows. */
import {targetRowSchema, type TargetRow} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {z} from 'zod';
import {
	addJsonOption,
	addNodeOptions,
	connect,
	printJson,
	reportFault,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {withProgress} from './progress.js';
import {renderTable, type Column} from './table.js';

type TargetsOptions = NodeOptions & {service?: string};

/** Adds the command. */
export function addTargetsCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('targets')
		.description('list the targets that a node knows, and their states')
		.option('--service <name>', 'only the targets of this service')
		.addHelpText('after', '\nExample:\n  egretspoke targets --service orders');
	addJsonOption(addNodeOptions(command)).action(
		async (options: TargetsOptions) => listTargets(host, command, options),
	);
}

async function listTargets(
	host: CommandHost,
	command: Command,
	options: TargetsOptions,
): Promise<void> {
	const {terminal} = host;
	const client = connect(host, options, command);
	const answer = await withProgress(
		host,
		'asking the node',
		client.call({
			method: 'GET',
			path: '/v1/targets',
			statuses: [200],
			schema: z.array(targetRowSchema),
		}),
	);
	if (answer.isErr()) {
		reportFault(host, answer.error);
		return;
	}

	const {service} = options;
	const rows = answer.value.filter(
		(row) => service === undefined || row.service === service,
	);
	if (options.json) {
		printJson(terminal, rows);
	} else {
		terminal.write(
			renderTable(rows, columns, terminal.colour) || 'no targets are known\n',
		);
	}

	host.finish(exitCodes.done);
}

const columns: Array<Column<TargetRow>> = [
	{heading: 'SERVICE', cell: ({service}) => service},
	{heading: 'NODE', cell: ({node}) => node},
	{heading: 'DATA CENTRE', cell: ({dataCentre}) => dataCentre},
	{heading: 'STATE', cell: ({state}) => state},
	{heading: 'SLOTS', cell: ({slots}) => slots},
	{heading: 'CONNECTIONS', cell: ({connections}) => connections},
	{heading: 'CALLERS', cell: ({callerAddress}) => callerAddress},
	{heading: 'VERSION', cell: ({configurationVersion}) => configurationVersion},
	{
		heading: 'HEARD',
		cell: ({heardSecondsAgo}) => `${Math.round(heardSecondsAgo)} s ago`,
	},
];
