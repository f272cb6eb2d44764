/** Command line of the memory benchmark: `npm run --silent memory -- --json`. */
import process from 'node:process';
import {Command} from 'commander';
import {measureMemory} from './memory-slopes.js';

const program = new Command()
	.name('memory')
	.description('Measures the memory of each kind of state.')
	.option('--json', 'print one JSON object')
	.addHelpText('after', '\nExample: npm run --silent memory -- --json');
program.parse();
const slopes = await measureMemory();
const lines = slopes.map(
	({piece, count, heapBytes, residentBytes}) =>
		`${piece.padEnd(40)} ${heapBytes} bytes of heap, ${residentBytes} resident (${count})`,
);
process.stdout.write(
	program.opts<{json?: boolean}>().json
		? `${JSON.stringify({slopes})}\n`
		: `${lines.join('\n')}\n`,
);
