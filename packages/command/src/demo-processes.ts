/**
 * The processes of the demonstration: a stand-in for the platform, and for each
 * VM a stand-in target with its node. All listen on the loopback interface, on
 * ports that the operating system assigns.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import type {
	Child,
	readStartedNode,
	readText,
	resolveScript,
	startChild,
} from '@egretspoke/stand-ins';

/** One VM of the demonstration. */
export type DemoMachine = {
	node: string;
	dataCentre: string;
	service: string;
	calls: string[];
	/** Processing time of the target, in milliseconds, without its calls. */
	serviceTime: number;
};

/** A running VM. */
export type DemoNode = DemoMachine & {
	/** Addresses of the listeners for callers and for operators, as `ip:port`. */
	caller: string;
	admin: string;
	process: Child;
	target: Child;
};

/** All running processes. */
export type DemoCluster = {
	nodes: DemoNode[];
	/** Prints a line of output. */
	print(line: string): void;
	/** Runs the operator program and resolves with its exit code and output. */
	runCommand(
		admin: string,
		parameters: string[],
	): Promise<{code: number | undefined; output: string; errors: string}>;
	/** Writes a file for the operator program and resolves with its path. */
	write(name: string, text: string): Promise<string>;
	/** Stops all processes; resolves with the number of nodes that did not exit with code 0. */
	stop(): Promise<number>;
};

type StandIns = {
	startChild: typeof startChild;
	readStartedNode: typeof readStartedNode;
	readText: typeof readText;
	resolveScript: typeof resolveScript;
};

const slots = 8;
const connections = 64;

/** Loads the stand-ins; resolves with undefined outside the repository, because they are not published. */
export async function loadStandIns(): Promise<StandIns | undefined> {
	try {
		return await import('@egretspoke/stand-ins');
	} catch {
		return undefined;
	}
}

/** Starts the platform, then all VMs; resolves when all nodes are ready. */
export async function startCluster(
	standIns: StandIns,
	machines: DemoMachine[],
	print: (line: string) => void,
): Promise<DemoCluster> {
	const directory = await mkdtemp(path.join(tmpdir(), 'egretspoke-demo-'));
	const children: Child[] = [];
	const start = (script: string, parameters: string[]) => {
		const child = standIns.startChild({script, parameters});
		children.push(child);
		return child;
	};

	const write = async (name: string, text: string) => {
		const file = path.join(directory, name);
		await writeFile(file, text);
		return file;
	};

	const startMachine = async (
		machine: DemoMachine,
		platform: string,
	): Promise<DemoNode> => {
		const {service, calls, serviceTime, node, dataCentre} = machine;
		const target = start(
			standIns.resolveScript(
				import.meta.resolve('@egretspoke/stand-ins'),
				'target-main.js',
			),
			[JSON.stringify({service, slots, connections, serviceTime, calls})],
		);
		const targetAddress = await target.waitFor((line) =>
			standIns.readText(line, 'address'),
		);
		const settings = await write(
			`${node}.yaml`,
			stringify({
				node,
				dataCentre,
				listeners: {
					caller: '127.0.0.1:0',
					peer: '127.0.0.1:0',
					admin: '127.0.0.1:0',
				},
				platform: {address: `http://${platform}`},
				target: {address: targetAddress},
				logs: {format: 'json', level: 'info'},
			}),
		);
		const child = start(
			standIns.resolveScript(
				import.meta.resolve('@egretspoke/node'),
				'main.js',
			),
			['--settings', settings],
		);
		const {caller, admin} = await child.waitFor(standIns.readStartedNode);
		await target.sendCommand(`announce ${caller}`);
		print(`  ${node} serves ${service} in ${dataCentre}: callers ${caller}`);
		return {...machine, caller, admin, process: child, target};
	};

	const platform = start(
		standIns.resolveScript(
			import.meta.resolve('@egretspoke/stand-ins'),
			'platform-main.js',
		),
		[],
	);
	const platformAddress = await platform.waitFor((line) =>
		standIns.readText(line, 'address'),
	);
	print(`  the stand-in for the platform listens on ${platformAddress}`);
	const nodes = await Promise.all(
		machines.map(async (machine) => startMachine(machine, platformAddress)),
	);
	return {
		nodes,
		print,
		write,
		async runCommand(admin, parameters) {
			const child = start(standIns.resolveScript(import.meta.url, 'main.js'), [
				...parameters,
				'--node',
				admin,
			]);
			const code = await child.exited;
			return {code, output: child.lines.join('\n'), errors: child.errors()};
		},
		async stop() {
			for (const {process: child} of nodes) {
				child.signal('SIGTERM');
			}

			const codes = await Promise.all(
				nodes.map(async ({process: child}) => child.exited),
			);
			await Promise.all(children.map(async (child) => child.kill()));
			await rm(directory, {recursive: true});
			return codes.filter((code) => code !== 0).length;
		},
	};
}
