/**
 * Crowds of clients that exceed the limits, at each listener of a process of the
 * node program.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {
	clientScripts,
	countDescriptors,
	createTinyFragments,
	startCrowd,
	watchProcess,
	type ClientKind,
	type ClientScript,
	type RequestShape,
} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {request} from 'undici';
import {
	startProcessCluster,
	type Machine,
	type ProcessCluster,
} from './process-cluster.js';

type Listener = 'caller' | 'peer' | 'admin';

/** Clients of one kind at one listener. */
type CrowdRow = {
	listener: Listener;
	kind: ClientKind | 'tinyFragments';
	clients: number;
};

/** The bounds of each test: the memory of the VM in megabytes, and open descriptors. */
const vm = {memory: 250, descriptors: 1000};
const limits = {
	body: '4MB',
	bufferedBodies: '32MB',
	connections: 800,
	connectionMemory: '32MB',
	slowSender: '2s',
};
/** The heap that the program has on such a VM. */
const nodeOptions = ['--max-old-space-size=160', '--max-semi-space-size=8'];
/** Milliseconds for which a crowd sends at most. */
const playTime = 6000;
/** Milliseconds for the end of all connections of a crowd, and for an answer afterwards. */
const patience = 40_000;
/** Descriptors by which the process may have more after a crowd. */
const spareDescriptors = 10;

const rows: CrowdRow[] = [
	...(
		[
			['tinyChunks', 60],
			['largeChunks', 60],
			['shortBody', 200],
			['missingBody', 300],
			['longHead', 800],
			['emptyFields', 300],
			['shortFields', 800],
			['emptyLines', 20],
			['emptyLinesBehind', 20],
			['endlessHead', 20],
			['endlessValue', 20],
			['endlessExtension', 20],
			['endlessChunkSize', 20],
			['endlessTrailer', 20],
			['endlessBody', 30],
			['endlessRefusedBody', 30],
			['requestsAhead', 60],
			['silent', 1500],
		] as const
	).map(([kind, clients]): CrowdRow => ({listener: 'caller', kind, clients})),
	...(['peer', 'admin'] as const).flatMap((listener): CrowdRow[] => [
		{listener, kind: 'tinyChunks', clients: 60},
		{listener, kind: 'endlessBody', clients: 30},
		{listener, kind: 'shortBody', clients: 200},
		{listener, kind: 'emptyLines', clients: 20},
		{listener, kind: 'emptyFields', clients: 300},
		{listener, kind: 'endlessValue', clients: 20},
		{listener, kind: 'requestsAhead', clients: 60},
		{listener, kind: 'silent', clients: 1500},
	]),
	{listener: 'peer', kind: 'tinyFragments', clients: 60},
];

describe('crowds of clients that exceed the limits of a node', () => {
	let cluster: ProcessCluster;
	let machine: Machine;
	let exitCode: number | string | undefined;

	beforeEach(async () => {
		cluster = await startProcessCluster();
		machine = await cluster.startMachine('vm-1', {
			service: 'orders',
			slots: 20,
			serviceTime: 1,
			limits,
			nodeOptions,
		});
		exitCode = undefined;
		void (async () => {
			exitCode = (await machine.process.exited) ?? 'signal';
		})();

		await cluster.waitForMembers(machine, ['vm-1']);
		expect(await becomesTrue(answersCaller)).to.equal(true);
	});

	afterEach(async () => {
		await cluster.stop();
	});

	const answersCaller = async () => {
		const {status} = await cluster.sendRequest(machine, 'orders');
		return status === 200;
	};

	const hasStatus = async (url: string, expected: number) => {
		const {statusCode, body} = await request(url, {reset: true});
		await body.dump();
		return statusCode === expected;
	};

	/** Whether an ordinary request at the listener is answered as always. */
	const answers: Record<Listener, () => Promise<boolean>> = {
		caller: answersCaller,
		peer: async () => hasStatus(`http://${machine.peer}/`, 426),
		admin: async () => hasStatus(`http://${machine.admin}/v1/status`, 200),
	};

	const play = async ({listener, kind, clients}: CrowdRow) => {
		const {pid} = machine.process;
		const descriptorsBefore = countDescriptors(pid);
		const stopWatching = watchProcess(pid);
		const [host = '', port] = machine[listener].split(':');
		const crowd = startCrowd({
			host,
			port: Number(port),
			clients,
			script: createScript(listener, kind),
		});
		await crowd.play(playTime);
		const areClosed = await becomesTrue(
			() =>
				exitCode !== undefined ||
				(crowd.open() === 0 &&
					countDescriptors(pid) <= descriptorsBefore + spareDescriptors),
		);
		crowd.close();
		const isServing =
			exitCode === undefined &&
			(await becomesTrue(answers[listener])) &&
			(await becomesTrue(answersCaller));
		return {peak: stopWatching(), areClosed, isServing};
	};

	const check = async (row: CrowdRow) => {
		const {peak, areClosed, isServing} = await play(row);
		expect(exitCode, machine.process.errors().slice(-2000)).to.equal(undefined);
		expect(peak.memory, 'memory in MB').to.be.below(vm.memory);
		expect(peak.descriptors, 'open descriptors').to.be.below(vm.descriptors);
		expect(isServing, 'ordinary requests').to.equal(true);
		expect(areClosed, 'the connections are closed').to.equal(true);
	};

	for (const row of rows) {
		const {listener, kind, clients} = row;
		// Guards against a process that a crowd ends, fills or keeps from serving.
		it(`of ${clients} ${kind} at the listener of ${listener}`, async () => {
			await check(row);
		}).timeout(3 * patience);
	}
});

/** Polls until the check returns true; an error counts as false. */
async function becomesTrue(
	check: () => boolean | Promise<boolean>,
): Promise<boolean> {
	const until = performance.now() + patience;
	while (performance.now() < until) {
		try {
			// eslint-disable-next-line no-await-in-loop -- polled.
			if (await check()) {
				return true;
			}
		} catch {
			// The process closed the connection.
		}

		// eslint-disable-next-line no-await-in-loop -- polling interval.
		await pause(50);
	}

	return false;
}

function createScript(
	listener: Listener,
	kind: CrowdRow['kind'],
): ClientScript {
	const path = listener === 'admin' ? '/v1/plans' : '/work';
	const shape: RequestShape = {
		host: 'node.example',
		upload: path,
		read: listener === 'admin' ? '/v1/status' : '/work',
		lines: ['egretspoke-service: orders'],
	};
	return kind === 'tinyFragments'
		? createTinyFragments('/', shape.host)
		: clientScripts[kind](shape);
}
