import {expect} from 'chai';
import type {CallerOutcome, CallerRequest} from '@egretspoke/node';
import {
	createTestCluster,
	describeOutcome,
	type TestCluster,
} from './test-cluster.js';

/** One row of the table of outcomes in docs/GUARANTEES.md. */
type Row = {
	/** Why the request ends. */
	cause: string;
	expected: string;
	/** Number of runs at targets. */
	runs: number;
	arrange(cluster: TestCluster): Promise<CallerOutcome | undefined>;
};

const idempotent: Partial<CallerRequest> = {method: 'GET'};

const rows: Row[] = [
	{
		cause: 'answered whole',
		expected: 'answered',
		runs: 1,
		arrange: async (cluster) => cluster.sendAndWait('r'),
	},
	{
		cause: 'repeated after its answer',
		expected: 'answered again',
		runs: 1,
		async arrange(cluster) {
			const keyExpiry = cluster.clock.date().getTime() + 20_000;
			await cluster.sendAndWait('r', {keyExpiry});
			return cluster.sendAndWait('r', {keyExpiry});
		},
	},
	{
		cause: 'refused at its entry: no key',
		expected: 'notRun KeyRequired',
		runs: 0,
		arrange: async (cluster) => cluster.sendAndWait('r', {key: undefined!}),
	},
	{
		cause: 'refused at its entry: no home',
		expected: 'notRun HomeRequired',
		runs: 0,
		arrange: async (cluster) => cluster.sendAndWait('r', {home: undefined!}),
	},
	{
		cause: 'refused by a home without an expiry of the key',
		expected: 'notRun KeyExpiryRequired',
		runs: 0,
		arrange: async (cluster) =>
			cluster.sendAndWait('r', {keyExpiry: undefined!}),
	},
	{
		cause: 'refused because its key expires too late',
		expected: 'notRun KeyExpiryTooFar',
		runs: 0,
		arrange: async (cluster) =>
			cluster.sendAndWait('r', {
				keyExpiry: cluster.clock.date().getTime() + 1_000_000,
			}),
	},
	{
		cause: 'refused because its key was used for another request',
		expected: 'unknown KeyReused',
		runs: 1,
		async arrange(cluster) {
			const keyExpiry = cluster.clock.date().getTime() + 20_000;
			await cluster.sendAndWait('r', {keyExpiry});
			return cluster.sendAndWait('r', {keyExpiry, path: '/refunds'});
		},
	},
	{
		cause: 'shed by every target with a certificate',
		expected: 'notRun',
		runs: 0,
		async arrange(cluster) {
			cluster.setTargets({shed: 1});
			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'no target can be reached',
		expected: 'notRun',
		runs: 0,
		async arrange(cluster) {
			cluster.setTargets({unreachable: 1});
			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'every target is leaving',
		expected: 'notRun',
		runs: 0,
		async arrange(cluster) {
			for (const process of cluster.world.processes()) {
				process.control.leave();
			}

			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'refused by a node that was paused beyond its lease',
		expected: 'notRun NodeSuspended',
		runs: 0,
		async arrange(cluster) {
			const {execution} = cluster.world.findProcess('vm-0')!;
			execution.freeze();
			await cluster.wait(10_000);
			const sent = cluster.send('r');
			await cluster.wait(5);
			execution.thaw();
			await cluster.wait(1000);
			return sent;
		},
	},
	{
		cause: 'deadline passed while it ran',
		expected: 'unknown DeadlineWhileRunning',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({slowness: 1000});
			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'repeated while it runs',
		expected: 'unknown StillRunning',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({slowness: 30});
			const keyExpiry = cluster.clock.date().getTime() + 20_000;
			void cluster.send('r', {keyExpiry});
			await cluster.wait(5);
			const repeat = cluster.send('r', {keyExpiry, timeLeft: 20});
			await cluster.wait(100);
			return repeat;
		},
	},
	{
		cause: 'answer lost by its target',
		expected: 'unknown AnswerLost',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({lost: 1});
			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'answer cut short by its target',
		expected: 'unknown AnswerCut',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({cut: 1});
			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'connection between nodes lost after forwarding',
		expected: 'unknown AnswerLost',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({slowness: 20});
			const sent = cluster.send('r', {
				entry: 'vm-0',
				home: cluster.homeAt('vm-1'),
			});
			await cluster.wait(15);
			cluster.world.network.cut('vm-0');
			await cluster.wait(1500);
			return sent;
		},
	},
	{
		cause: 'home killed while it ran',
		expected: 'unknown AnswerLost',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({slowness: 20});
			const sent = cluster.send('r', {home: cluster.homeAt('vm-1')});
			await cluster.wait(15);
			cluster.world.kill('vm-1');
			await cluster.wait(1500);
			return sent;
		},
	},
	{
		cause: 'home frozen while it holds the request',
		expected: 'unknown DeadlineWhileRunning',
		runs: 0,
		async arrange(cluster) {
			cluster.world.findProcess('vm-1')!.execution.freeze();
			return cluster.sendAndWait('r', {home: cluster.homeAt('vm-1')});
		},
	},
	{
		cause: 'home not reachable',
		expected: 'unknown HomeUnreachable',
		runs: 0,
		async arrange(cluster) {
			const home = cluster.homeAt('vm-1');
			cluster.world.kill('vm-1');
			return cluster.sendAndWait('r', {home});
		},
	},
	{
		cause: 'home of another incarnation',
		expected: 'unknown HomeGone',
		runs: 0,
		arrange: async (cluster) =>
			cluster.sendAndWait('r', {home: {node: 'vm-1', incarnation: 1}}),
	},
	{
		cause: 'key expired',
		expected: 'unknown KeyExpired',
		runs: 0,
		arrange: async (cluster) =>
			cluster.sendAndWait('r', {keyExpiry: cluster.clock.date().getTime() - 1}),
	},
	{
		cause: 'home full',
		expected: 'notRun LedgerFull',
		runs: 0,
		async arrange(cluster) {
			for (const key of ['a', 'b', 'c']) {
				// eslint-disable-next-line no-await-in-loop -- sequential calls.
				await cluster.sendAndWait(key);
			}

			return cluster.sendAndWait('r');
		},
	},
	{
		cause: 'idempotent, one attempt lost and the next refused',
		expected: 'unknown',
		runs: 1,
		async arrange(cluster) {
			cluster.setTargets({lost: 1, slowness: 3});
			const sent = cluster.send('r', idempotent);
			await cluster.wait(4);
			cluster.setTargets({shed: 1});
			await cluster.wait(1500);
			return sent;
		},
	},
];

describe('the outcomes of a request', () => {
	for (const {cause, expected, runs, arrange} of rows) {
		it(`${cause}: ${expected}`, async () => {
			// The reported outcome must match what the targets did, whatever failed in
			// between: after a wrong "not run" the caller retries and pays twice.
			const cluster = await createTestCluster({ledgerKeys: 3});
			const result = await arrange(cluster);
			expect(
				describeOutcome(result).startsWith(expected),
				describeOutcome(result),
			).to.equal(true);
			expect(cluster.countRuns('r')).to.equal(runs);
			expect(cluster.violations()).to.deep.equal([]);
		});
	}

	it('refused in the queue of its target: not run, while others are answered', async () => {
		// A surge of bookings at slow targets. Refused bookings must not have run,
		// and each admitted booking must run once.
		const cluster = await createTestCluster({slots: 1});
		cluster.setTargets({slowness: 8});
		const sent = Array.from({length: 120}, async (_, index) =>
			cluster.send(`r${index}`),
		);
		await cluster.wait(2000);
		const kinds = new Set<string>();
		for (const result of await Promise.all(sent)) {
			kinds.add(result?.outcome.kind ?? 'no answer');
		}

		expect(kinds).to.include('answered');
		expect(kinds).to.include('notRun');
		expect(cluster.violations()).to.deep.equal([]);
	});
});
