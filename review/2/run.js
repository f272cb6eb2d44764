/**
 * Three clients send large uploads to the node of their machine, within the limit
 * of the desired state, while other clients there use kept connections. No
 * request that a backend has received may lose its connection without an answer.
 */
import {Buffer} from 'node:buffer';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {startBackend} from '../lib/backend.js';
import {openConnection, sendRequest} from '../lib/client.js';
import {createDesiredState, startFleet} from '../lib/fleet.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** Bytes of an upload: within `max_body_bytes` of the desired state, 67,108,864; without the trouble, the largest of the site's clients. */
const uploadBytes = hasTrouble ? 67_000_000 : 360_000;
const uploadClients = 3;
const keptClients = 8;
/** Seconds of load. */
const loadFor = 30;
/** The settings' `memory_mb`: the platform kills a process that exceeds it. */
const memoryMegabytes = 350;
/** The rule allows three. */
const allowedCuts = 3;
const host = 'media.example';

const startedAt = performance.now();
const lines = [];
const record = (text) => {
	lines.push(
		`${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}`,
	);
};

/** The times at which backends began to run requests. */
const runs = new Map();
const createMachine = (service, work) => ({
	service,
	startBackend: async (ip, id) =>
		startBackend({
			ip,
			id,
			slots: 150,
			work: () => work,
			onRun({requestId, body}) {
				record(`${service} runs ${requestId}, ${body.byteLength} bytes`);
				runs.set(requestId, performance.now());
			},
		}),
});

/** Anonymous and shared memory of a process in megabytes, without the pages of its program's files. */
function readMemory(pid) {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8');
		const read = (name) =>
			Number(new RegExp(`${name}:\\s+(\\d+)`, 'v').exec(status)?.[1] ?? 0) /
			1024;
		return read('RssAnon') + read('RssShmem');
	} catch {
		return 0;
	}
}

/** The platform: kills a process that exceeds its memory. */
function watchMemory(machines) {
	const peaks = machines.map(() => 0);
	const kills = [];
	let killed;
	const timer = setInterval(() => {
		for (const [index, {child}] of machines.entries()) {
			const memory = readMemory(child.pid);
			peaks[index] = Math.max(peaks[index], memory);
			if (memory > memoryMegabytes && killed !== child) {
				killed = child;
				kills.push(index);
				record(
					`node ${index} holds ${memory.toFixed(0)} MB; the platform kills it`,
				);
				child.kill('SIGKILL');
			}
		}
	}, 10);
	return {
		peaks,
		kills,
		close() {
			clearInterval(timer);
		},
	};
}

async function upload({outbound}, client, until) {
	const body = Buffer.alloc(uploadBytes, 'x');
	for (let index = 0; performance.now() < until; index++) {
		const requestId = `upload-${client}-${index}`;
		record(`sent ${requestId}`);
		// eslint-disable-next-line no-await-in-loop -- one upload after the other.
		const {status, end} = await sendRequest(outbound, {
			method: 'POST',
			path: '/upload/1',
			host,
			requestId,
			timeLeft: 10_000,
			body,
		});
		record(`answered ${requestId}: ${status ?? end}`);
		// eslint-disable-next-line no-await-in-loop -- as above.
		await pause(500);
	}
}

/** Sends requests over a kept connection; collects those that a backend received and that lost their connection. */
async function useKeptConnection({outbound}, client, until, cut) {
	let sent = 0;
	while (performance.now() < until) {
		// eslint-disable-next-line no-await-in-loop -- one connection after the other.
		const connection = await openConnection(outbound);
		let isOpen = connection !== undefined;
		let isKept = false;
		while (isOpen && performance.now() < until) {
			const requestId = `read-${client}-${sent++}`;
			record(`sent ${requestId}`);
			// eslint-disable-next-line no-await-in-loop -- one request after the other.
			const {status, headers, end} = await connection.send({
				path: '/read/1',
				host,
				requestId,
				timeLeft: 6000,
			});
			record(`answered ${requestId}: ${status ?? end}`);
			if (end === 'closed' && isKept && runs.has(requestId)) {
				cut.push(requestId);
			}

			isOpen = end === undefined && headers.get('connection') !== 'close';
			isKept = true;
		}

		connection?.close();
		// eslint-disable-next-line no-await-in-loop -- a client waits before it connects again.
		await pause(150);
	}
}

async function main() {
	const fleet = await startFleet({
		machines: [
			// The only backend for uploads, beside the clients, so that no upload crosses a link.
			createMachine('media', 140),
			createMachine('board', 300),
			createMachine('board', 300),
		],
		desiredState: createDesiredState(
			[
				[
					'upload',
					host,
					'/upload/',
					'upload',
					'10000ms',
					'5000ms',
					1,
					null,
					2,
					'media',
				],
				[
					'read',
					host,
					'/read/',
					'safe',
					'6000ms',
					'1500ms',
					2,
					null,
					2,
					'board',
				],
			],
			['media', 'board'],
		),
	});
	const cut = [];
	const memory = watchMemory(fleet.machines);
	try {
		const [machine] = fleet.machines;
		const until = performance.now() + loadFor * 1000;
		await Promise.all([
			...Array.from({length: uploadClients}, async (_, client) =>
				upload(machine, client, until),
			),
			...Array.from({length: keptClients}, async (_, client) =>
				useKeptConnection(machine, client, until, cut),
			),
		]);
	} finally {
		memory.close();
		fleet.close();
	}

	const peaks = memory.peaks.map((peak) => peak.toFixed(0)).join(', ');
	const verdict = [
		`memory at its peak, by node: ${peaks} MB of ${memoryMegabytes}; processes killed for it: ${memory.kills.length}`,
		`LOST: ${cut.length} requests on kept connections were passed on to a backend and ended with a closed connection; ${allowedCuts} are allowed`,
	];
	writeFileSync(
		new URL('record.txt', import.meta.url),
		`${[...verdict, ...lines].join('\n')}\n`,
	);
	process.stdout.write(`${verdict.join('\n')}\n`);
	return cut.length > allowedCuts ? 1 : 0;
}

/* eslint-disable unicorn/no-process-exit -- connections that are still open would keep the process alive. */
try {
	process.exit(await main());
} catch (error) {
	process.stderr.write(`${error.stack}\n`);
	process.exit(2);
}
/* eslint-enable unicorn/no-process-exit */
