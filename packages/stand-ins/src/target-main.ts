/**
 * Runs a stand-in target as a separate process:
 * `node target-main.js '{"service":"orders","slots":8,…}'`. Prints its address as
 * one line of JSON, and responds to each input line with another:
 * `announce <ip:port>` announces the target to its node, `runs` returns the
 * number of runs of each request id.
 */
import process from 'node:process';
import {createInterface} from 'node:readline';
import {createSystemClock} from '@egretspoke/shared';
import {z} from 'zod';
import {startTargetStandIn} from './target-stand-in.js';

const optionsSchema = z.object({
	service: z.string(),
	slots: z.number(),
	connections: z.number(),
	serviceTime: z.number(),
	calls: z.array(z.string()).default([]),
	host: z.string().default('127.0.0.1'),
	port: z.number().default(0),
});

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const target = await startTargetStandIn({
	...options,
	clock: createSystemClock({keepAlive: true}),
});
process.stdout.write(`${JSON.stringify({address: target.address})}\n`);

const commands: Record<string, (parameter: string) => Promise<unknown>> = {
	async announce(nodeAddress) {
		await target.announce(nodeAddress);
		return {announced: true};
	},
	async runs() {
		return {runs: Object.fromEntries(target.runs)};
	},
};

for await (const line of createInterface({input: process.stdin})) {
	const [name = '', parameter = ''] = line.split(' ');
	const answer = (await commands[name]?.(parameter)) ?? {error: 'unknown'};
	process.stdout.write(`${JSON.stringify(answer)}\n`);
}

await target.close();
