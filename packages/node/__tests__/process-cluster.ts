/**
 * Real processes for the failures that only a process has: kill, freeze and
 * planned stop. The platform and the targets are stand-ins. Everything waits for
 * events and never for a fixed time.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	readStartedNode,
	readText,
	resolveScript,
	startChild,
	type Child,
} from '@egretspoke/stand-ins';
import {Agent, request as send} from 'undici';

/** One VM: a target with its node. */
export type Machine = {
	name: string;
	process: Child;
	target: Child;
	caller: string;
	peer: string;
	admin: string;
};

/** An answer as received by a caller. */
export type CallerAnswer = {
	status: number;
	outcome: string;
	error: string;
	home: string;
	/** When the key should expire, in milliseconds since 1970. */
	keyExpiry: string;
	request: string;
	body: string;
};

/** The properties of the target of a machine. */
export type MachineOptions = {
	service: string;
	slots: number;
	/** Milliseconds. */
	serviceTime: number;
	/** The limits in the settings of its node. */
	limits?: Record<string, number | string>;
	/** Options for Node. */
	nodeOptions?: string[];
};

/** The processes of one test. */
export type ProcessCluster = {
	startMachine(name: string, options: MachineOptions): Promise<Machine>;
	/** Resolves when the node of the machine has these members as active. */
	waitForMembers(machine: Machine, names: string[]): Promise<void>;
	sendRequest(
		machine: Machine,
		service: string,
		options?: {method?: string; headers?: Record<string, string>},
	): Promise<CallerAnswer>;
	/** How often each request id ran at the target of the machine. */
	runsAt(machine: Machine): Promise<Record<string, number>>;
	stop(): Promise<void>;
};

const nodeProgram = fileURLToPath(new URL('../dist/main.js', import.meta.url));
const standIns = new URL('../../stand-ins/dist/index.js', import.meta.url).href;

/** Starts the platform's stand-in; machines follow. */
export async function startProcessCluster(): Promise<ProcessCluster> {
	const directory = await mkdtemp(path.join(tmpdir(), 'egretspoke-test-'));
	const agent = new Agent({connections: 64});
	const children: Child[] = [];
	const startWith = (
		nodeOptions: string[],
		script: string,
		...parameters: string[]
	) => {
		const child = startChild({nodeOptions, script, parameters});
		children.push(child);
		return child;
	};

	const start = (script: string, ...parameters: string[]) =>
		startWith([], script, ...parameters);

	const platform = start(resolveScript(standIns, 'platform-main.js'));
	const platformAddress = await platform.waitFor((line) =>
		readText(line, 'address'),
	);

	return {
		async startMachine(name, {limits = {}, nodeOptions = [], ...options}) {
			const target = start(
				resolveScript(standIns, 'target-main.js'),
				JSON.stringify({...options, connections: 64}),
			);
			const address = await target.waitFor((line) => readText(line, 'address'));
			const file = path.join(directory, `${name}.json`);
			const free = '127.0.0.1:0';
			await writeFile(
				file,
				JSON.stringify({
					node: name,
					dataCentre: 'gh-coast-1',
					listeners: {caller: free, peer: free, admin: free},
					platform: {address: `http://${platformAddress}`},
					target: {address},
					limits,
					logs: {format: 'json'},
					timings: {lease: '1s', probe: '300ms'},
				}),
			);
			const child = startWith(nodeOptions, nodeProgram, '--settings', file);
			const {caller, peer, admin} = await child.waitFor(readStartedNode);
			await target.sendCommand(`announce ${caller}`);
			return {name, process: child, target, caller, peer, admin};
		},
		async waitForMembers({admin}, names) {
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- polls until it is true.
				const answer = await send(`http://${admin}/v1/targets`);
				// eslint-disable-next-line no-await-in-loop -- its body belongs to it.
				const rows = (await answer.body.json()) as Array<{
					node: string;
					state: string;
				}>;
				const active = new Set(
					rows.filter(({state}) => state === 'active').map(({node}) => node),
				);
				if (names.every((name) => active.has(name))) {
					return;
				}
			}
		},
		async sendRequest({caller}, service, {method = 'GET', headers = {}} = {}) {
			const answer = await send(`http://${caller}/work`, {
				method: method as 'GET',
				dispatcher: agent,
				headers: {'egretspoke-service': service, ...headers},
				...(method === 'POST' && {body: '{"cents":1250}'}),
			});
			const read = (name: string) => String(answer.headers[name] ?? '');
			return {
				status: answer.statusCode,
				outcome: read('egretspoke-outcome'),
				error: read('egretspoke-error'),
				home: read('egretspoke-home'),
				keyExpiry: read('egretspoke-key-expiry'),
				request: read('egretspoke-request'),
				body: await answer.body.text(),
			};
		},
		async runsAt({target}) {
			const {runs} = (await target.sendCommand('runs')) as {
				runs: Record<string, number>;
			};
			return runs;
		},
		async stop() {
			await agent.destroy();
			await Promise.all(children.map(async (child) => child.kill()));
			await rm(directory, {recursive: true});
		},
	};
}
