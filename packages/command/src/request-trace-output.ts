/** Reads the trace of a request from log files and prints it. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {
	LogEntry,
	RequestTrace,
	RequestTraceReader,
} from '@egretspoke/observability';
import {printJson, type CommandHost} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

/** Reads the files in sequence; on failure resolves with an error message. */
export async function readLogs(
	reader: RequestTraceReader,
	files: readonly string[],
): Promise<string | undefined> {
	for (const file of files) {
		const input = file === '-' ? process.stdin : createReadStream(file);
		try {
			// eslint-disable-next-line no-await-in-loop -- files are read in sequence.
			for await (const line of createInterface({input})) {
				reader.addLine(line);
			}
		} catch (error) {
			const {code} = error as NodeJS.ErrnoException;
			return `cannot read the log ${file}: ${code}`;
		}
	}

	return undefined;
}

/** Prints the trace; sets the exit code `refused` when no line is about the request. */
export function showRequestTrace(
	{terminal, finish}: CommandHost,
	requestTrace: RequestTrace,
	{json}: {json?: boolean},
): void {
	if (json) {
		printJson(terminal, requestTrace);
	} else {
		printRequestTrace(terminal, requestTrace);
	}

	finish(
		requestTrace.decisions.length > 0 ? exitCodes.done : exitCodes.refused,
	);
}

function printRequestTrace(
	terminal: Terminal,
	requestTrace: RequestTrace,
): void {
	const {request, decisions, repeats, beliefs} = requestTrace;
	const {configurations, linesDropped, unreadable} = requestTrace;
	if (decisions.length === 0) {
		terminal.write(
			`no line about request ${request}: its target answered the first attempt, or the log of its entry node is missing\n`,
		);
	} else {
		terminal.write(`request ${request}\n`);
		terminal.write(renderTable(decisions, entryColumns, terminal.colour));
	}

	if (repeats.length > 0) {
		terminal.write('\nthe same request under other ids\n');
		terminal.write(renderTable(repeats, entryColumns, terminal.colour));
	}

	if (beliefs.length > 0) {
		terminal.write('\nrelated notices of these nodes\n');
		terminal.write(renderTable(beliefs, entryColumns, terminal.colour));
	}

	if (configurations.length > 0) {
		terminal.write('\nconfigurations before and after\n');
		terminal.write(renderTable(configurations, entryColumns, terminal.colour));
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

/** Formats details as `key=value` pairs. */
export function renderDetails(
	details: Readonly<Record<string, string | number | boolean>>,
): string {
	return Object.entries(details)
		.map(([key, value]) => `${key}=${value}`)
		.join(' ');
}
