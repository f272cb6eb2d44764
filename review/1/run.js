/**
 * Payments while backends shed load and send some responses a second time, late.
 * No payment may run more than once.
 */
import {Buffer} from 'node:buffer';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {startBackend} from '../lib/backend.js';
import {sendRequest} from '../lib/client.js';
import {createDesiredState, startFleet} from '../lib/fleet.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** `srv_grey`, `how = "shed all"`, on all backends of the service: share of the requests that are declined; 8.5 s each, one after the other. */
const shedShare = 0.12;
/** `garble`, `how = "extra late"`: share of the backends, and share of their responses; 5 s each, one after the other. */
const garbleBackends = 0.6;
const garbleShare = 0.03;
/** Seconds of load with both, and of all load. */
const troubleFor = 85;
const loadFor = 87;
const backends = 4;
const slots = 113;
const requestsPerSecond = 120;
const work = 160;
const host = 'pay.example';

const startedAt = performance.now();
const seconds = () => (performance.now() - startedAt) / 1000;
const lines = [];
const record = (text) => {
	lines.push(`${seconds().toFixed(3)} s  ${text}`);
};

let troubleFrom = Number.POSITIVE_INFINITY;
const isInTrouble = () => {
	const since = seconds() - troubleFrom;
	return hasTrouble && since >= 0 && since < troubleFor;
};

const runs = new Map();
const machines = Array.from({length: backends}, (_, index) => ({
	service: 'orders',
	startBackend: async (ip, id) =>
		startBackend({
			ip,
			id,
			slots,
			work: () => work,
			declines: () => isInTrouble() && Math.random() < shedShare,
			sendsAgain({requestId}, status) {
				const isChosen =
					index < Math.floor(backends * garbleBackends) &&
					isInTrouble() &&
					Math.random() < garbleShare;
				if (isChosen) {
					record(
						`backend ${index} will send its response to ${requestId} (${status}) a second time`,
					);
				}

				return isChosen;
			},
			onRun({requestId}) {
				record(`backend ${index} runs ${requestId}`);
				runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
			},
		}),
}));

const answers = new Map();
const send = async (machine, requestId) => {
	record(`sent ${requestId} to ${machine.outbound}`);
	const {status, end} = await sendRequest(machine.outbound, {
		method: 'POST',
		path: '/pay/1',
		host,
		requestId,
		timeLeft: 6000,
		body: Buffer.from('amount=1'),
	});
	record(`answered ${requestId}: ${status ?? end}`);
	answers.set(requestId, status);
};

async function main() {
	const fleet = await startFleet({
		machines,
		desiredState: createDesiredState(
			[
				[
					'pay',
					host,
					'/pay/',
					'unsafe',
					'6000ms',
					'1500ms',
					0,
					null,
					2,
					'orders',
				],
			],
			['orders'],
		),
	});
	try {
		const open = [];
		const total = requestsPerSecond * loadFor;
		const firstAt = performance.now();
		troubleFrom = seconds() + 1;
		for (let index = 0; index < total; index++) {
			const dueAt = firstAt + (index * 1000) / requestsPerSecond;
			if (dueAt > performance.now()) {
				// eslint-disable-next-line no-await-in-loop -- the pace of the load.
				await pause(dueAt - performance.now());
			}

			const machine = fleet.machines[index % fleet.machines.length];
			open.push(send(machine, `pay-${String(index).padStart(5, '0')}`));
		}

		await Promise.all(open);
		// What was answered as not run may run later.
		await pause(2000);
	} finally {
		fleet.close();
	}

	const twice = [...runs].filter(([, count]) => count > 1);
	const promised = [...answers].filter(
		([id, status]) => [408, 421, 429, 503].includes(status) && runs.has(id),
	);
	const counts = {};
	for (const status of answers.values()) {
		counts[status ?? 'none'] = (counts[status ?? 'none'] ?? 0) + 1;
	}

	const verdict = [
		`requests ${answers.size}, by status ${JSON.stringify(counts)}`,
		`TWICE: ${twice.length} requests ran more than once${twice.map(([id, count]) => `; ${id} ${count} times`).join('')}`,
		`REFUSED: ${promised.length} requests were answered as not run, and ran${promised.map(([id, status]) => `; ${id} ${status}`).join('')}`,
	];
	writeFileSync(
		new URL('record.txt', import.meta.url),
		`${[...verdict, ...lines].join('\n')}\n`,
	);
	process.stdout.write(`${verdict.join('\n')}\n`);
	return twice.length > 0 ? 1 : 0;
}

/* eslint-disable unicorn/no-process-exit -- connections that are still open would keep the process alive. */
try {
	process.exit(await main());
} catch (error) {
	process.stderr.write(`${error.stack}\n`);
	process.exit(2);
}
/* eslint-enable unicorn/no-process-exit */
