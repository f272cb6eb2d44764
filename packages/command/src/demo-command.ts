/** `egretspoke demo`: serves a request end to end with stand-ins, in separate processes. */
import type {Command} from 'commander';
import {addJsonOption, type CommandHost} from './command-host.js';
import {exitCodes} from './exit-code.js';

/** Adds the command. */
export function addDemoCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('demo')
		.description(
			'serve one request end to end with stand-ins and show each step',
		)
		.addHelpText('after', '\nExample:\n  egretspoke demo');
	addJsonOption(command).action(async (options: {json?: boolean}) => {
		const {runDemo} = await import('./demo.js');
		const code = await runDemo({json: options.json ?? false});
		host.finish(code === 0 ? exitCodes.done : exitCodes.refused);
	});
}
