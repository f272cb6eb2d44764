/** `egretspoke demo`: the whole path on stand-ins, in separate processes. */
import type {Command} from 'commander';
import type {CommandHost} from './command-host.js';
import {exitCodes} from './exit-code.js';

/** Adds the command. */
export function addDemoCommand(program: Command, host: CommandHost): void {
	program
		.command('demo')
		.description('serve one request end to end on stand-ins and show its way')
		.addHelpText('after', '\nExample:\n  egretspoke demo')
		.action(async () => {
			const {runDemo} = await import('./demo.js');
			const code = await runDemo();
			host.finish(code === 0 ? exitCodes.done : exitCodes.refused);
		});
}
