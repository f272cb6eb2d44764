/** `egretspoke leave`: takes the target beside a node out of service. */
import type {Command} from 'commander';
import {z} from 'zod';
import {
	addNodeOptions,
	createNodeClient,
	reportFault,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {withProgress} from './progress.js';

const answerSchema = z.object({result: z.literal('leaving')});

/** Adds the command. */
export function addLeaveCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('leave')
		.description(
			'take the target beside a node out of service; requests in flight finish',
		)
		.addHelpText(
			'after',
			'\nExample:\n  egretspoke leave --node 10.0.0.1:7402',
		);
	addNodeOptions(command).action(async (options: NodeOptions) =>
		leave(host, command, options),
	);
}

async function leave(
	host: CommandHost,
	command: Command,
	options: NodeOptions,
): Promise<void> {
	const client = createNodeClient(host, options, command);
	const answer = await withProgress(
		host,
		'calling the node',
		client.call({
			method: 'POST',
			path: '/v1/leave',
			statuses: [202],
			schema: answerSchema,
		}),
	);
	if (answer.isErr()) {
		reportFault(
			host,
			answer.error,
			'it may be leaving; to settle it: egretspoke leave, which is safe to repeat',
		);
		return;
	}

	host.terminal.write(
		`the node at ${client.address} is leaving; watch its load with: egretspoke status\n`,
	);
	host.finish(exitCodes.done);
}
