/** `egretspoke explain`: shows why a request was routed, queued or refused. */
import {createRequestTraceReader} from '@egretspoke/observability';
import {explanationSchema, type Explanation} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {
	addJsonOption,
	addNodeOptions,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {
	readLogs,
	renderDetails,
	showRequestTrace,
} from './request-trace-output.js';
import {queryNode} from './node-query.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

/** Adds the command. */
export function addExplainCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('explain')
		.description('show the decisions that a node made about a request, and why')
		.argument(
			'<request>',
			'the Egretspoke-Request header of its answer, or with --logs the request id of the caller',
		)
		.option(
			'--logs <files...>',
			'read the JSON lines of these files instead of calling a node; - is standard input',
		)
		.addHelpText(
			'after',
			'\nA node stores only its own decisions: query the entry node first, then the node that it routed to.\n\nExample:\n  egretspoke explain 3f9a0c --node 10.0.0.1:7402\n  egretspoke explain 9c41d07be2a35f68 --logs logs/*.jsonl',
		);
	addJsonOption(addNodeOptions(command)).action(
		async (request: string, options: ExplainOptions) => {
			if (options.logs) {
				const reader = createRequestTraceReader(request);
				const fault = await readLogs(reader, options.logs);
				if (fault !== undefined) {
					command.error(fault);
				}

				showRequestTrace(host, reader.finish(), options);
				return;
			}

			await queryNode(host, command, options, {
				path: `/v1/explain/${encodeURIComponent(request)}`,
				schema: explanationSchema,
				select: (explanation) => explanation,
				print: printExplanation,
			});
		},
	);
}

type ExplainOptions = NodeOptions & {logs?: string[]};

function printExplanation(
	terminal: Terminal,
	{request, node, decisions}: Explanation,
): void {
	terminal.write(`request ${request} at node ${node}\n`);
	terminal.write(renderTable(decisions, columns, terminal.colour));
}

const columns: Array<Column<Explanation['decisions'][number]>> = [
	{heading: 'AT', cell: ({at}) => at},
	{heading: 'EVENT', cell: ({event}) => event},
	{heading: 'DECISION', cell: ({name}) => name},
	{heading: 'REASON', cell: ({reason}) => reason},
	{
		heading: 'DETAILS',
		cell: ({details}) => renderDetails(details),
	},
];
