/** Assembles the commands of the operator program and runs them. */
import {createSystemClock, type Clock} from '@egretspoke/shared';
import {Command, CommanderError} from 'commander';
import type {CommandHost} from './command-host.js';
import {addConfirmCommand} from './confirm-command.js';
import {addDemoCommand} from './demo-command.js';
import {exitCodes, type ExitCode} from './exit-code.js';
import {addExplainCommand} from './explain-command.js';
import {addLeaveCommand} from './leave-command.js';
import {addPlanCommand} from './plan-command.js';
import {addStatusCommand} from './status-command.js';
import {addTargetsCommand} from './targets-command.js';
import type {Terminal} from './terminal.js';
import {addValidateCommand} from './validate-command.js';

const commands = [
	addPlanCommand,
	addConfirmCommand,
	addStatusCommand,
	addTargetsCommand,
	addExplainCommand,
	addValidateCommand,
	addLeaveCommand,
	addDemoCommand,
];

const exitCodeHelp = `
Exit codes:
  0  done
  1  refused, with findings or the reason; nothing took effect
  2  the command line is invalid
  3  outcome unknown; the output names the command that settles it

Example:
  egretspoke plan orders.yaml && egretspoke confirm 7c1f0a`;

const version = '0.1.0';

/** Runs the program with the given arguments, without the program name; resolves with the exit code. */
export async function runProgram(
	argumentList: readonly string[],
	terminal: Terminal,
	clock: Clock = createSystemClock({keepAlive: true}),
): Promise<ExitCode> {
	let exitCode: ExitCode = exitCodes.done;
	const host: CommandHost = {
		terminal,
		clock,
		finish(code) {
			exitCode = code;
		},
	};
	try {
		await createProgram(host).parseAsync([...argumentList], {from: 'user'});
	} catch (error) {
		if (!(error instanceof CommanderError)) {
			throw error;
		}

		return error.exitCode === 0 ? exitCodes.done : exitCodes.usage;
	}

	return exitCode;
}

function createProgram(host: CommandHost): Command {
	const {terminal} = host;
	const program = new Command('egretspoke');
	program
		.description(
			'plan, confirm and inspect the overload control of a call graph',
		)
		.version(version)
		.addHelpText('after', exitCodeHelp)
		.exitOverride()
		.configureOutput({
			writeOut(text) {
				terminal.write(text);
			},
			writeErr(text) {
				terminal.writeError(text);
			},
		});
	for (const addCommand of commands) {
		addCommand(program, host);
	}

	return program;
}
