import {expect} from 'chai';
import {createTestCluster, describeOutcome} from './test-cluster.js';

describe('a payment under one key', () => {
	it('runs once when several nodes receive it at once', async () => {
		// A user taps the button repeatedly, and each tap reaches another node.
		// Without a home, each node would charge once.
		const cluster = await createTestCluster();
		const sent = ['vm-0', 'vm-1', 'vm-2', 'vm-3'].flatMap((entry) => [
			cluster.send('p', {entry}),
			cluster.send('p', {entry}),
		]);
		await cluster.wait(1000);
		const ends = await Promise.all(sent);
		expect(
			ends.filter((end) => describeOutcome(end).startsWith('answered')),
		).to.have.lengthOf(8);
		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('returns its answer when it is repeated through another node', async () => {
		// The phone loses its connection before the receipt arrives and retries at
		// another node.
		const cluster = await createTestCluster();
		await cluster.sendAndWait('p');
		const keyExpiry = cluster.clock.date().getTime() + 20_000;
		const fresh = await cluster.sendAndWait('q', {keyExpiry});
		const again = await cluster.sendAndWait('q', {keyExpiry, entry: 'vm-3'});
		expect(describeOutcome(fresh)).to.equal('answered');
		expect(describeOutcome(again)).to.equal('answered again');
		expect(cluster.countRuns('q')).to.equal(1);
	});

	it('is not retried at a second target when the first lost its answer', async () => {
		// The target charges and crashes before it answers. The outcome is unknown,
		// and a retry would charge again.
		const cluster = await createTestCluster();
		cluster.setTargets({lost: 1});
		const keyExpiry = cluster.clock.date().getTime() + 20_000;
		const first = await cluster.sendAndWait('p', {keyExpiry});
		cluster.setTargets({lost: 0});
		const again = await cluster.sendAndWait('p', {keyExpiry});
		expect(describeOutcome(first)).to.equal('unknown AnswerLost');
		expect(describeOutcome(again)).to.equal('unknown AnswerLost');
		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('is not run again by a home that was killed and restarted', async () => {
		// The home's VM is replaced and its ledger is lost. The new process with the
		// same name must not treat the payment as new.
		const cluster = await createTestCluster();
		const home = cluster.homeAt('vm-0');
		const keyExpiry = cluster.clock.date().getTime() + 60_000;
		await cluster.sendAndWait('p', {home, keyExpiry});
		cluster.world.kill('vm-0');
		await cluster.wait(500);
		cluster.world.start('vm-0');
		await cluster.wait(6000);
		for (const entry of ['vm-0', 'vm-2']) {
			// eslint-disable-next-line no-await-in-loop -- sequential retries.
			const end = await cluster.sendAndWait('p', {home, keyExpiry, entry});
			expect(describeOutcome(end)).to.equal('unknown HomeGone');
		}

		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('is not run by a home that resumes after the deadline', async () => {
		// The home is paused while it holds the payment. Its caller times out, and
		// the payment must not be made afterwards.
		const cluster = await createTestCluster();
		const sent = cluster.send('p');
		cluster.world.findProcess('vm-0')!.execution.freeze();
		await cluster.wait(2000);
		cluster.world.findProcess('vm-0')!.execution.thaw();
		await cluster.wait(3000);
		expect(describeOutcome(await sent)).to.equal('no answer');
		expect(cluster.violations()).to.deep.equal([]);
		expect(cluster.countRuns('p')).to.be.at.most(1);
	});

	it('is not run elsewhere while its home is partitioned', async () => {
		// The data centre of the home is partitioned. The other side can't determine
		// whether the payment ran, so it must neither run it nor report it as not
		// run.
		const cluster = await createTestCluster();
		const home = cluster.homeAt('vm-0');
		const keyExpiry = cluster.clock.date().getTime() + 20_000;
		await cluster.sendAndWait('p', {home, keyExpiry});
		cluster.world.network.partition(new Set(['vm-0']));
		await cluster.wait(1500);
		const end = await cluster.sendAndWait('p', {
			home,
			keyExpiry,
			entry: 'vm-1',
		});
		expect(describeOutcome(end)).to.match(/^unknown /u);
		cluster.world.network.heal();
		await cluster.wait(6000);
		const again = await cluster.sendAndWait('p', {
			home,
			keyExpiry,
			entry: 'vm-1',
		});
		expect(describeOutcome(again)).to.equal('answered again');
		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('is refused as not run by a home whose ledger is full', async () => {
		const cluster = await createTestCluster({ledgerKeys: 2});
		await cluster.sendAndWait('a');
		await cluster.sendAndWait('b');
		const end = await cluster.sendAndWait('c');
		expect(describeOutcome(end)).to.equal('notRun LedgerFull');
		expect(cluster.countRuns('c')).to.equal(0);
	});

	it('is refused once its key has expired', async () => {
		// A phone was switched off and repeats its payment long afterwards, when the
		// home has dropped the key.
		const cluster = await createTestCluster();
		const keyExpiry = cluster.clock.date().getTime() + 2000;
		await cluster.sendAndWait('p', {keyExpiry});
		await cluster.wait(10_000);
		const end = await cluster.sendAndWait('p', {keyExpiry});
		expect(describeOutcome(end)).to.equal('unknown KeyExpired');
		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('is not run again when its target was killed while running it', async () => {
		const cluster = await createTestCluster();
		cluster.setTargets({slowness: 10});
		const keyExpiry = cluster.clock.date().getTime() + 20_000;
		const sent = cluster.send('p', {keyExpiry});
		await cluster.wait(15);
		for (const target of cluster.world.targets) {
			target.killRunning();
		}

		await cluster.wait(1000);
		expect(describeOutcome(await sent)).to.equal('unknown AnswerLost');
		const again = await cluster.sendAndWait('p', {keyExpiry});
		expect(describeOutcome(again)).to.equal('unknown AnswerLost');
		expect(cluster.countRuns('p')).to.equal(1);
	});

	it('runs at another target after a certified refusal', async () => {
		const cluster = await createTestCluster();
		for (const target of cluster.world.targets.slice(0, 3)) {
			target.faults.shed = 1;
		}

		const keyExpiry = cluster.clock.date().getTime() + 20_000;
		const ends: string[] = [];
		for (let repeat = 0; repeat < 6; repeat++) {
			// eslint-disable-next-line no-await-in-loop -- sequential retries.
			ends.push(describeOutcome(await cluster.sendAndWait('p', {keyExpiry})));
		}

		expect(ends.some((end) => end.startsWith('answered'))).to.equal(true);
		expect(cluster.countRuns('p')).to.equal(1);
		expect(cluster.violations()).to.deep.equal([]);
	});

	describe('at nodes without a ledger', () => {
		it('runs twice when it is repeated after its answer', async () => {
			// Verifies that the specs above can fail.
			const cluster = await createTestCluster({handler: 'withoutLedger'});
			const keyExpiry = cluster.clock.date().getTime() + 20_000;
			await cluster.sendAndWait('p', {keyExpiry});
			await cluster.sendAndWait('p', {keyExpiry, entry: 'vm-3'});
			expect(cluster.countRuns('p')).to.equal(2);
			expect(cluster.violations().map(({checker}) => checker)).to.deep.equal([
				'noKeyRanTwice',
			]);
		});

		it('runs once for each concurrent copy', async () => {
			const cluster = await createTestCluster({handler: 'withoutLedger'});
			const copies = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
			const sent = copies.map(async (entry) => cluster.send('p', {entry}));
			await cluster.wait(1000);
			await Promise.all(sent);
			expect(cluster.countRuns('p')).to.equal(4);
		});
	});
});
