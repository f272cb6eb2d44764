/** `egretspoke targets`: lists the targets that a node knows. */
import {targetRowSchema, type TargetRow} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {z} from 'zod';
import {
	addJsonOption,
	addNodeOptions,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {queryNode} from './node-query.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

type TargetsOptions = NodeOptions & {service?: string};

/** Adds the command. */
export function addTargetsCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('targets')
		.description('list the targets that a node knows, and their states')
		.option('--service <name>', 'only the targets of this service')
		.addHelpText('after', '\nExample:\n  egretspoke targets --service orders');
	addJsonOption(addNodeOptions(command)).action(
		async (options: TargetsOptions) =>
			queryNode(host, command, options, {
				path: '/v1/targets',
				schema: z.array(targetRowSchema),
				select: (rows) =>
					rows.filter(
						({service}) =>
							options.service === undefined || service === options.service,
					),
				print: printTargets,
			}),
	);
}

function printTargets(terminal: Terminal, rows: TargetRow[]): void {
	terminal.write(
		renderTable(rows, columns, terminal.colour) || 'no targets are known\n',
	);
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
		heading: 'LAST SEEN',
		cell: ({heardSecondsAgo}) => `${Math.round(heardSecondsAgo)} s ago`,
	},
];
