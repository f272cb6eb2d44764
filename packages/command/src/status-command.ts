/** `egretspoke status`: shows the state of one node and its view of the other nodes. */
import {nodeStatusSchema, type NodeStatus} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {
	addJsonOption,
	addNodeOptions,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {queryNode} from './node-query.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

/** Adds the command. */
export function addStatusCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('status')
		.description(
			'show the state of a node, and the version in force at every node that it knows',
		)
		.addHelpText(
			'after',
			'\nExample:\n  egretspoke status --node 10.0.0.1:7402 --json',
		);
	addJsonOption(addNodeOptions(command)).action(async (options: NodeOptions) =>
		queryNode(host, command, options, {
			path: '/v1/status',
			schema: nodeStatusSchema,
			select: (status) => status,
			print: printStatus,
		}),
	);
}

function printStatus(terminal: Terminal, status: NodeStatus): void {
	const {configuration, load} = status;
	const lines = [
		`node           ${status.node}, incarnation ${status.incarnation}, ${status.state}`,
		`data centre    ${status.dataCentre}`,
		`up for         ${Math.round(status.uptimeSeconds)} s`,
		`configuration  version ${configuration.version}, ${sources[configuration.source]}`,
		`platform       ${status.platform}`,
		...(load
			? [
					`load           ${load.inFlight} in flight of ${load.limit}, ${load.waiting} waiting, level ${load.level}`,
				]
			: []),
	];
	for (const {path, failures, detail} of status.failing ?? []) {
		lines.push(`failing        ${path}, ${failures} times: ${detail}`);
	}

	terminal.write(`${lines.join('\n')}\n\n`);
	terminal.write(renderTable(status.inForce, columns, terminal.colour));
}

const sources: Record<NodeStatus['configuration']['source'], string> = {
	defaults: 'the safe defaults: no accepted configuration is available yet',
	platform: 'from the platform',
	peer: 'from a peer',
};

const columns: Array<Column<NodeStatus['inForce'][number]>> = [
	{heading: 'NODE', cell: ({node}) => node},
	{heading: 'DATA CENTRE', cell: ({dataCentre}) => dataCentre},
	{heading: 'STATE', cell: ({state}) => state},
	{heading: 'VERSION', cell: ({version}) => version},
	{
		heading: 'LAST SEEN',
		cell: ({heardSecondsAgo}) => `${Math.round(heardSecondsAgo)} s ago`,
	},
];
