/**
 * The demonstration: serves one request end to end with separate processes and
 * embedded stand-ins, and prints what happens at each step. It fails with a
 * non-zero exit code when any step fails.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {
	explanationSchema,
	nodeStatusSchema,
	planSchema,
	type Explanation,
} from '@egretspoke/protocol';
import {request as send} from 'undici';
import {
	loadStandIns,
	startCluster,
	type DemoCluster,
	type DemoMachine,
	type DemoNode,
} from './demo-processes.js';

const machines: DemoMachine[] = [
	{
		node: 'vm-1',
		dataCentre: 'gh-coast-1',
		service: 'orders-and-payments',
		calls: ['loft-queues'],
		serviceTime: 5,
	},
	{
		node: 'vm-2',
		dataCentre: 'gh-coast-1',
		service: 'loft-queues',
		calls: [],
		serviceTime: 3,
	},
	{
		node: 'vm-3',
		dataCentre: 'gh-coast-2',
		service: 'loft-queues',
		calls: [],
		serviceTime: 3,
	},
];

const intents = `- service: orders-and-payments
  deadline: 4s
  attempts: 3
  requests:
    - match: {method: POST, path: /payments}
      class: essential
      idempotent: false
  calls: [loft-queues]
- service: loft-queues
  deadline: 2s
`;

/** Timeout in milliseconds until the configuration is in force everywhere, with a margin for a busy machine. */
const inForceTimeout = 20_000;

type DemoAnswer = {
	status: number;
	outcome: string;
	request: string;
	home: string;
	/** The suggested expiry of the key, in milliseconds since 1970. */
	keyExpiry: string;
	body: string;
};

/** The output options of the demonstration. */
export type DemoOptions = {
	/** Prints one JSON object per step instead of text. */
	json: boolean;
};

/** A step without the expected result. */
class DemoFailure extends Error {}

/** Runs the demonstration and resolves with the exit code. */
export async function runDemo({json}: DemoOptions): Promise<number> {
	const standIns = await loadStandIns();
	if (!standIns) {
		process.stderr.write(
			'the demonstration needs the stand-ins of the repository; run it from a checkout with `npm run --silent demo`\n',
		);
		return 1;
	}

	const print = (line: string) => {
		const text = json ? JSON.stringify({step: line.trim()}) : line;
		process.stdout.write(`${text}\n`);
	};

	try {
		print('Starting: platform stand-in, 3 targets, 3 nodes, each a process.');
		const cluster = await startCluster(standIns, machines, print);
		await runSteps(cluster);
		const uncleanExits = await cluster.stop();
		assertStep(
			uncleanExits <= 1,
			'every node but the killed one drains and exits 0',
		);
		print('Done: every step succeeded.');
		return 0;
	} catch (error) {
		const detail = error instanceof DemoFailure ? error.message : String(error);
		process.stderr.write(`the demonstration failed: ${detail}\n`);
		return 1;
	}
}

async function runSteps(cluster: DemoCluster): Promise<void> {
	const entry = cluster.nodes[0]!;
	await confirmIntents(cluster, entry);
	await waitInForce(cluster, 1);

	cluster.print('A client calls orders-and-payments, which calls loft-queues:');
	const first = await sendRequest(entry, 'GET', '/orders/17');
	printAnswer(cluster, first);
	assertStep(first.status === 200, 'the request is served');
	const ranAt = await printDecisions(cluster, first.request);

	cluster.print(
		'A payment is not idempotent: it needs an idempotency key, a home and an expiry.',
	);
	const key = {'idempotency-key': 'twine-2041'};
	const withoutHome = await sendRequest(entry, 'POST', '/payments', key);
	printAnswer(cluster, withoutHome);
	assertStep(withoutHome.status === 428, 'a payment without a home is not run');
	const withHome = {
		...key,
		'egretspoke-home': withoutHome.home,
		'egretspoke-key-expiry': withoutHome.keyExpiry,
	};
	const paid = await sendRequest(entry, 'POST', '/payments', withHome);
	printAnswer(cluster, paid);
	assertStep(paid.status === 200, 'the payment is run');
	const repeated = await sendRequest(
		cluster.nodes[1]!,
		'POST',
		'/payments',
		withHome,
	);
	printAnswer(cluster, repeated);
	assertStep(
		repeated.outcome === 'answered; repeated' && repeated.body === paid.body,
		'the same payment sent to another node gets the recorded answer',
	);

	const chosen = cluster.nodes.find(({node}) => node === ranAt);
	cluster.print(
		`Killing ${ranAt}, which served loft-queues, and sending another request:`,
	);
	await chosen?.process.kill();
	const second = await sendRequest(entry, 'GET', '/orders/18');
	printAnswer(cluster, second);
	assertStep(
		second.status === 200 || second.outcome !== 'answered',
		'the request is served, or its outcome is not reported as answered',
	);
	await printDecisions(cluster, second.request);
}

async function confirmIntents(
	cluster: DemoCluster,
	entry: DemoNode,
): Promise<void> {
	const file = await cluster.write('intents.yaml', intents);
	const planned = await cluster.runCommand(entry.admin, [
		'plan',
		file,
		'--json',
	]);
	assertStep(planned.code === 0, `plan: ${planned.output} ${planned.errors}`);
	const plan = planSchema.parse(JSON.parse(planned.output));
	cluster.print(`Plan ${plan.id} against version ${plan.baseVersion}:`);
	for (const {service, path, before, after} of plan.changes) {
		cluster.print(`  ${service} ${path}: ${before ?? '-'} -> ${after ?? '-'}`);
	}

	const confirmed = await cluster.runCommand(entry.admin, ['confirm', plan.id]);
	assertStep(
		confirmed.code === 0,
		`confirm: ${confirmed.output} ${confirmed.errors}`,
	);
	cluster.print(`  ${confirmed.output.trim()}`);
}

async function waitInForce(
	cluster: DemoCluster,
	version: number,
): Promise<void> {
	const startedAt = performance.now();
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polls until all nodes have the version.
		const versions = await Promise.all(
			cluster.nodes.map(async ({admin}) => {
				const status = await cluster.runCommand(admin, ['status', '--json']);
				assertStep(status.code === 0, `status: ${status.errors}`);
				return nodeStatusSchema.parse(JSON.parse(status.output)).configuration
					.version;
			}),
		);
		const elapsed = performance.now() - startedAt;
		if (versions.every((each) => each >= version)) {
			cluster.print(
				`Version ${version} is in force on all ${versions.length} nodes.`,
			);
			return;
		}

		assertStep(elapsed < inForceTimeout, 'the version is in force everywhere');
		// eslint-disable-next-line no-await-in-loop -- the pause between two polls.
		await wait(100);
	}
}

async function sendRequest(
	{caller}: DemoNode,
	method: 'GET' | 'POST',
	path: string,
	headers: Record<string, string> = {},
): Promise<DemoAnswer> {
	const answer = await send(`http://${caller}${path}`, {
		method,
		headers: {
			'egretspoke-service': 'orders-and-payments',
			'egretspoke-caller': 'boat-owner-9',
			...headers,
		},
		...(method === 'POST' && {body: '{"cents": 1250}'}),
	});
	const read = (name: string) => String(answer.headers[name] ?? '');
	return {
		status: answer.statusCode,
		outcome: read('egretspoke-outcome'),
		request: read('egretspoke-request'),
		home: read('egretspoke-home'),
		keyExpiry: read('egretspoke-key-expiry'),
		body: await answer.body.text(),
	};
}

/** Prints all decisions about a request and returns the node that it was last routed to. */
async function printDecisions(
	cluster: DemoCluster,
	request: string,
): Promise<string> {
	const explanations = await Promise.all(
		cluster.nodes.map(async ({admin}) => explain(cluster, admin, request)),
	);
	const decisions = explanations
		.flatMap((each) =>
			(each?.decisions ?? []).map((decision) => ({
				...decision,
				node: each!.node,
			})),
		)
		.toSorted((left, right) => left.at.localeCompare(right.at));
	for (const {at, node, event, name, reason} of decisions) {
		cluster.print(`    ${at.slice(11)} ${node} ${event} ${name}: ${reason}`);
	}

	const routed = decisions.findLast(({name}) => name === 'routed');
	return String(routed?.details.node ?? '');
}

async function explain(
	cluster: DemoCluster,
	admin: string,
	request: string,
): Promise<Explanation | undefined> {
	const parameters = ['explain', request, '--json'];
	const {code, output} = await cluster.runCommand(admin, parameters);
	return code === 0 ? explanationSchema.parse(JSON.parse(output)) : undefined;
}

function printAnswer(
	{print}: DemoCluster,
	{status, outcome, body}: DemoAnswer,
): void {
	print(`  HTTP ${status}, ${outcome}: ${body}`);
}

function assertStep(isTrue: boolean, what: string): void {
	if (!isTrue) {
		throw new DemoFailure(`expected: ${what}`);
	}
}
