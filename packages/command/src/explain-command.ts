/** `egretspoke explain`: why was a request routed, queued or refused? */
import {explanationSchema, type Explanation} from '@egretspoke/protocol';
import type {Command} from 'commander';
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

/** Adds the command. */
export function addExplainCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('explain')
		.description('show the decisions that a node took about a request, and why')
		.argument('<request>', 'the Egretspoke-Request header of its answer')
		.addHelpText(
			'after',
			'\nA node knows its own decisions only: ask the entry node first, then the one it routed to.\n\nExample:\n  egretspoke explain 3f9a0c --node 10.0.0.1:7402',
		);
	addJsonOption(addNodeOptions(command)).action(
		async (request: string, options: NodeOptions) =>
			explainRequest(host, command, request, options),
	);
}

async function explainRequest(
	host: CommandHost,
	command: Command,
	request: string,
	options: NodeOptions,
): Promise<void> {
	const {terminal} = host;
	const client = connect(host, options, command);
	const answer = await withProgress(
		host,
		'asking the node',
		client.call({
			method: 'GET',
			path: `/v1/explain/${encodeURIComponent(request)}`,
			statuses: [200],
			schema: explanationSchema,
		}),
	);
	if (answer.isErr()) {
		reportFault(host, answer.error);
		return;
	}

	const {node, decisions} = answer.value;
	if (options.json) {
		printJson(terminal, answer.value);
	} else {
		terminal.write(`request ${request} at node ${node}\n`);
		terminal.write(renderTable(decisions, columns, terminal.colour));
	}

	host.finish(exitCodes.done);
}

const columns: Array<Column<Explanation['decisions'][number]>> = [
	{heading: 'AT', cell: ({at}) => at},
	{heading: 'EVENT', cell: ({event}) => event},
	{heading: 'DECISION', cell: ({name}) => name},
	{heading: 'REASON', cell: ({reason}) => reason},
	{
		heading: 'DETAILS',
		cell: ({details}) =>
			Object.entries(details)
				.map(([key, value]) => `${key}=${value}`)
				.join(' '),
	},
];
