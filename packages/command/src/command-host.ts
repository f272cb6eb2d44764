/** The context of every command, with shared options and output functions. */
import {readFileSync} from 'node:fs';
import {
	formatFinding,
	parseDuration,
	type Clock,
	type Finding,
} from '@egretspoke/shared';
import {InvalidArgumentError, Option, type Command} from 'commander';
import {
	createAdminClient,
	type AdminClient,
	type AdminFault,
} from './admin-client.js';
import {exitCodes, type ExitCode} from './exit-code.js';
import {environmentNames, type Terminal} from './terminal.js';

/** The context in which a command runs. */
export type CommandHost = {
	terminal: Terminal;
	clock: Clock;
	/** Sets the exit code. */
	finish(code: ExitCode): void;
};

/** The options of every command that calls a node. */
export type NodeOptions = {
	node?: string;
	secretFile?: string;
	timeout: number;
	json?: boolean;
};

const defaultNode = '127.0.0.1:7402';
const defaultTimeout = 10_000;

/** Adds the options that specify a node and how to call it. */
export function addNodeOptions(command: Command): Command {
	return command
		.addOption(
			new Option(
				'--node <address>',
				`address of the admin listener; defaults to ${environmentNames.node}, else ${defaultNode}`,
			),
		)
		.addOption(
			new Option(
				'--secret-file <file>',
				`file with the operator secret; defaults to the secret in ${environmentNames.secret}`,
			),
		)
		.addOption(
			new Option('--timeout <duration>', 'maximum time to wait for an answer')
				.argParser(readDurationArgument)
				.default(defaultTimeout, '10s'),
		);
}

/** Adds the `--json` option. */
export function addJsonOption(command: Command): Command {
	return command.option('--json', 'print one JSON document');
}

/** Creates the client for the node in the options; an unreadable secret file is a usage error. */
export function createNodeClient(
	{terminal}: CommandHost,
	options: NodeOptions,
	command: Command,
): AdminClient {
	const secret = readSecret(options, command, terminal);
	return createAdminClient({
		address:
			options.node ??
			terminal.environment[environmentNames.node] ??
			defaultNode,
		timeout: options.timeout,
		...(secret !== undefined && {secret}),
	});
}

/** Prints findings, one per line, and sets the exit code `refused`. */
export function refuseWithFindings(
	{terminal, finish}: CommandHost,
	findings: readonly Finding[],
	options: {json?: boolean},
): void {
	if (options.json) {
		printJson(terminal, {findings});
	} else {
		for (const finding of findings) {
			terminal.writeError(`${formatFinding(finding)}\n`);
		}

		const noun = findings.length === 1 ? 'finding' : 'findings';
		terminal.writeError(`${findings.length} ${noun}\n`);
	}

	finish(exitCodes.refused);
}

/**
 * Prints why there is no valid answer. `settle` is the advice for a call that
 * may have had an effect; without it, a lost answer has the exit code `refused`
 * too, because the call has no effect.
 */
export function reportFault(
	{terminal, finish}: CommandHost,
	fault: AdminFault,
	settle?: string,
): void {
	terminal.writeError(`${fault.detail}\n`);
	if (fault.kind === 'lost' && settle !== undefined) {
		terminal.writeError(`${settle}\n`);
		finish(exitCodes.unknown);
	} else {
		finish(exitCodes.refused);
	}
}

/** Prints one JSON document. */
export function printJson(terminal: Terminal, value: unknown): void {
	terminal.write(`${JSON.stringify(value, undefined, '\t')}\n`);
}

/**
 * Parses a duration of the command line into milliseconds.
 *
 * @throws InvalidArgumentError when the text is not a duration.
 */
export function readDurationArgument(text: string): number {
	const duration = parseDuration(text);
	if (duration === undefined) {
		throw new InvalidArgumentError('Expected a duration such as 4s.');
	}

	return duration;
}

function readSecret(
	{secretFile}: NodeOptions,
	command: Command,
	terminal: Terminal,
): string | undefined {
	if (secretFile === undefined) {
		return terminal.environment[environmentNames.secret];
	}

	try {
		return readFileSync(secretFile, 'utf8').trim();
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		return command.error(`cannot read the secret file ${secretFile}: ${code}`);
	}
}
