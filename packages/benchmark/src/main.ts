/** Command line of the live benchmark. */
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {runLiveBenchmark, type LiveResult} from './live-benchmark.js';

type Flags = {
	rates: number[];
	rounds: number;
	duration: number;
	warmUp: number;
	warmTime: number;
	bodySize: number;
	logSample: number;
	json?: boolean;
};

const program = new Command()
	.name('benchmark')
	.description('Measures what egretspoke adds to a call, on loopback.')
	.option('--rates <list>', 'calls a second', parseNumbers, [230, 1500])
	.option('--rounds <number>', 'measured intervals of each way', parseNumber, 4)
	.option('--duration <seconds>', 'of each interval', parseNumber, 5)
	.option(
		'--warm-up <seconds>',
		'of each interval, not counted',
		parseNumber,
		1,
	)
	.option(
		'--warm-time <seconds>',
		'warm-up of each way before all measurements',
		parseNumber,
		8,
	)
	.option('--body-size <bytes>', 'of each request', parseNumber, 256)
	.option('--log-sample <share>', 'of calls logged', parseNumber, 0.01)
	.option('--json', 'print one JSON object')
	.addHelpText('after', '\nExample: npm run --silent benchmark -- --json');

program.parse();
const flags = program.opts<Flags>();
const {json, ...options} = flags;
const result = await runLiveBenchmark(options, (line) => {
	process.stderr.write(`${line}\n`);
});
process.stdout.write(json ? `${JSON.stringify(result)}\n` : format(result));

function parseNumber(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value < 0) {
		throw new InvalidArgumentError('expected a number of at least 0');
	}

	return value;
}

function parseNumbers(text: string): number[] {
	return text.split(',').map((each) => parseNumber(each));
}

function format({rates, idleMemory}: LiveResult): string {
	const lines = rates.flatMap(({rate, ways}) =>
		ways.map(({way, latency, added, processorTimePerCall, failed}) =>
			[
				String(rate).padStart(6),
				way.padEnd(9),
				`p50 ${latency.p50} (+${added.p50})`,
				`p99 ${latency.p99} (+${added.p99})`,
				`p99.9 ${latency.p999} (+${added.p999})`,
				`${processorTimePerCall} ms CPU a call`,
				`${failed} failed`,
			].join('  '),
		),
	);
	return `${lines.join('\n')}\nidle memory: ${idleMemory.targetNode} and ${idleMemory.entryNode} MB, forwarder ${idleMemory.forwarder} MB\n`;
}
