/** Shared by `status`, `targets` and `explain`: sends a query to a node and prints the answer. */
import type {Command} from 'commander';
import type {z} from 'zod';
import {
	createNodeClient,
	printJson,
	reportFault,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {withProgress} from './progress.js';
import type {Terminal} from './terminal.js';

/** A query and how its answer is printed. */
export type NodeQuery<Schema extends z.ZodType, Shown = z.output<Schema>> = {
	/** The path of the admin call. */
	path: string;
	schema: Schema;
	/** Selects the part of the answer that is printed, as JSON or by `print`. */
	select(answer: z.output<Schema>): Shown;
	print(terminal: Terminal, shown: Shown): void;
};

/** Sends the query, prints the answer and sets the exit code. */
export async function queryNode<Schema extends z.ZodType, Shown>(
	host: CommandHost,
	command: Command,
	options: NodeOptions,
	query: NodeQuery<Schema, Shown>,
): Promise<void> {
	const client = createNodeClient(host, options, command);
	const answer = await withProgress(
		host,
		'calling the node',
		client.call({
			method: 'GET',
			path: query.path,
			statuses: [200],
			schema: query.schema,
		}),
	);
	if (answer.isErr()) {
		reportFault(host, answer.error);
		return;
	}

	const shown = query.select(answer.value);
	if (options.json) {
		printJson(host.terminal, shown);
	} else {
		query.print(host.terminal, shown);
	}

	host.finish(exitCodes.done);
}
