/**
 * Starts the processes of the live benchmark on loopback: the platform's
 * stand-in, a target with zero service time, its node, and an entry node without
 * a target.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	readStartedNode,
	readText,
	resolveScript,
	startChild,
	type Child,
} from '@egretspoke/stand-ins';
import {request} from 'undici';
import {planSchema} from '@egretspoke/protocol';

/** A node process of the benchmark. */
export type LiveNode = {process: Child; caller: string; admin: string};

/** The running processes. */
export type LiveProcesses = {
	/** Address of the target, `ip:port`. */
	target: string;
	/** A plain proxy to the target, as a baseline. */
	forwarder: {process: Child; caller: string};
	/** The target's node, and the entry node. */
	targetNode: LiveNode;
	entryNode: LiveNode;
	stop(): Promise<void>;
};

/** The service that the benchmark calls. */
export const liveService = 'work';

const slots = 200;
const connections = 256;

/** Starts the processes; resolves once the entry node reaches the target. */
export async function startLiveProcesses(
	logSample: number,
): Promise<LiveProcesses> {
	const directory = await mkdtemp(path.join(tmpdir(), 'egretspoke-benchmark-'));
	const children: Child[] = [];
	const start = (packageName: string, script: string, parameters: string[]) => {
		const file = resolveScript(import.meta.resolve(packageName), script);
		const child = startChild({script: file, parameters});
		children.push(child);
		return child;
	};

	const platform = start('@egretspoke/stand-ins', 'platform-main.js', []);
	const platformAddress = await platform.waitFor((line) =>
		readText(line, 'address'),
	);
	const target = start('@egretspoke/stand-ins', 'target-main.js', [
		JSON.stringify({service: liveService, slots, connections, serviceTime: 0}),
	]);
	const targetAddress = await target.waitFor((line) =>
		readText(line, 'address'),
	);

	const forwarder = start('@egretspoke/stand-ins', 'forwarder-main.js', [
		targetAddress,
	]);
	const forwarderAddress = await forwarder.waitFor((line) =>
		readText(line, 'address'),
	);

	const startNode = async (
		node: string,
		settings: Record<string, unknown>,
	): Promise<LiveNode> => {
		const file = path.join(directory, `${node}.json`);
		const free = '127.0.0.1:0';
		await writeFile(
			file,
			JSON.stringify({
				node,
				dataCentre: 'gh-coast-1',
				listeners: {caller: free, peer: free, admin: free},
				platform: {address: `http://${platformAddress}`},
				logs: {format: 'json', sample: logSample},
				...settings,
			}),
		);
		const child = start('@egretspoke/node', 'main.js', ['--settings', file]);
		const addresses = await child.waitFor(readStartedNode);
		return {process: child, ...addresses};
	};

	const targetNode = await startNode('vm-target', {
		target: {address: targetAddress},
	});
	await target.sendCommand(`announce ${targetNode.caller}`);
	const entryNode = await startNode('vm-entry', {});
	await confirmIntent(entryNode);
	await waitForTarget(entryNode);
	return {
		target: targetAddress,
		forwarder: {process: forwarder, caller: forwarderAddress},
		targetNode,
		entryNode,
		async stop() {
			await Promise.all(children.map(async (child) => child.kill()));
			await rm(directory, {recursive: true});
		},
	};
}

/** Confirms an intent that declares the calls idempotent; they have a body and so can't use GET. */
async function confirmIntent({admin}: LiveNode): Promise<void> {
	const post = async (call: string, body: unknown) => {
		const answer = await request(`http://${admin}/v1/${call}`, {
			method: 'POST',
			body: JSON.stringify(body),
		});
		return answer.body.json();
	};

	const document = `service: ${liveService}\nrequests:\n  - match: {path: /work}\n    idempotent: true\n`;
	const plan = planSchema.parse(
		await post('plans', {author: 'benchmark', file: 'intent', document}),
	);
	await post(`plans/${plan.id}/confirm`, {});
}

async function waitForTarget({caller}: LiveNode): Promise<void> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polled until served.
		const answer = await request(`http://${caller}/work`, {
			method: 'PUT',
			headers: {'egretspoke-service': liveService},
		});
		// eslint-disable-next-line no-await-in-loop -- read before the next call.
		await answer.body.dump();
		if (answer.statusCode === 200) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polling interval.
		await new Promise((resolve) => {
			setTimeout(resolve, 50);
		});
	}
}
