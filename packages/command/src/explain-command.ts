/** `egretspoke explain`: why was a request routed, queued or refused? */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	createLogStoryReader,
	type LogEntry,
	type LogStory,
	type LogStoryReader,
} from '@egretspoke/observability';
import {explanationSchema, type Explanation} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {
	addJsonOption,
	addNodeOptions,
	printJson,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {queryNode} from './node-query.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

/** Adds the command. */
export function addExplainCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('explain')
		.description('show the decisions that a node took about a request, and why')
		.argument(
			'<request>',
			"the Egretspoke-Request header of its answer, or with --logs the caller's id",
		)
		.option(
			'--logs <files...>',
			'read the JSON lines of these files instead of asking a node; - is standard input',
		)
		.addHelpText(
			'after',
			'\nA node knows its own decisions only: ask the entry node first, then the one it routed to.\n\nExample:\n  egretspoke explain 3f9a0c --node 10.0.0.1:7402\n  egretspoke explain 9c41d07be2a35f68 --logs logs/*.jsonl',
		);
	addJsonOption(addNodeOptions(command)).action(
		async (request: string, options: ExplainOptions) => {
			if (options.logs) {
				const reader = createLogStoryReader(request);
				const fault = await readLogs(reader, options.logs);
				if (fault !== undefined) {
					command.error(fault);
				}

				showStory(host, reader.finish(), options);
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

/** Reads the files one after the other; gives what can't be read. */
async function readLogs(
	reader: LogStoryReader,
	files: readonly string[],
): Promise<string | undefined> {
	for (const file of files) {
		const input = file === '-' ? process.stdin : createReadStream(file);
		try {
			// eslint-disable-next-line no-await-in-loop -- one file after the other.
			for await (const line of createInterface({input})) {
				reader.take(line);
			}
		} catch (error) {
			const {code} = error as NodeJS.ErrnoException;
			return `cannot read the log ${file}: ${code}`;
		}
	}

	return undefined;
}

function showStory(
	{terminal, finish}: CommandHost,
	story: LogStory,
	{json}: {json?: boolean},
): void {
	if (json) {
		printJson(terminal, story);
	} else {
		printStory(terminal, story);
	}

	finish(story.decisions.length > 0 ? exitCodes.done : exitCodes.refused);
}

function printStory(terminal: Terminal, story: LogStory): void {
	const {request, decisions, beliefs, linesDropped, unreadable} = story;
	if (decisions.length === 0) {
		terminal.write(
			`no line about request ${request}: its target answered it at the first try, or the log of its entry node is missing\n`,
		);
	} else {
		terminal.write(`request ${request}\n`);
		terminal.write(renderTable(decisions, entryColumns, terminal.colour));
	}

	if (beliefs.length > 0) {
		terminal.write('\nwhat these nodes had come to believe before\n');
		terminal.write(renderTable(beliefs, entryColumns, terminal.colour));
	}

	if (linesDropped > 0) {
		terminal.write(
			`\nthese nodes dropped ${linesDropped} lines, so decisions may be missing\n`,
		);
	}

	if (unreadable > 0) {
		terminal.write(`\n${unreadable} lines could not be read\n`);
	}
}

const entryColumns: Array<Column<LogEntry>> = [
	{heading: 'AT', cell: ({at}) => at},
	{heading: 'NODE', cell: ({node}) => node},
	{heading: 'EVENT', cell: ({event}) => String(event)},
	{heading: 'REQUEST', cell: ({request}) => request ?? ''},
	{heading: 'LINE', cell: ({message}) => message},
	{heading: 'DETAILS', cell: ({details}) => renderDetails(details ?? {})},
];

function renderDetails(
	details: Readonly<Record<string, string | number | boolean>>,
): string {
	return Object.entries(details)
		.map(([key, value]) => `${key}=${value}`)
		.join(' ');
}

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
