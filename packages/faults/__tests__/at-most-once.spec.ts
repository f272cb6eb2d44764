import {expect} from 'chai';
import {createBench, nameOf} from './bench.js';

describe('a payment under one key', () => {
	it('runs once when it reaches several nodes at once', async () => {
		// A boat owner taps the button again and again, and each tap reaches
		// another node. Without a home each node would charge once.
		const bench = await createBench();
		const sent = ['vm-0', 'vm-1', 'vm-2', 'vm-3'].flatMap((entry) => [
			bench.send('p', {entry}),
			bench.send('p', {entry}),
		]);
		await bench.wait(1000);
		const ends = await Promise.all(sent);
		expect(
			ends.filter((end) => nameOf(end).startsWith('answered')),
		).to.have.lengthOf(8);
		expect(bench.runsOf('p')).to.equal(1);
	});

	it('gets its answer when it is repeated through another node', async () => {
		// The phone loses its connection before the receipt arrives, and asks
		// again wherever it gets through.
		const bench = await createBench();
		await bench.sendAndWait('p');
		const keyExpiry = bench.clock.date().getTime() + 20_000;
		const fresh = await bench.sendAndWait('q', {keyExpiry});
		const again = await bench.sendAndWait('q', {keyExpiry, entry: 'vm-3'});
		expect(nameOf(fresh)).to.equal('answered');
		expect(nameOf(again)).to.equal('answered again');
		expect(bench.runsOf('q')).to.equal(1);
	});

	it('is not tried at a second target when the first lost its answer', async () => {
		// The target charges and dies before it answers. Nobody can know, and a
		// second try would charge again.
		const bench = await createBench();
		bench.setTargets({lost: 1});
		const keyExpiry = bench.clock.date().getTime() + 20_000;
		const first = await bench.sendAndWait('p', {keyExpiry});
		bench.setTargets({lost: 0});
		const again = await bench.sendAndWait('p', {keyExpiry});
		expect(nameOf(first)).to.equal('unknown AnswerLost');
		expect(nameOf(again)).to.equal('unknown AnswerLost');
		expect(bench.runsOf('p')).to.equal(1);
	});

	it('is not run again by a home that was killed and restarted', async () => {
		// The home's VM is replaced; its memory is gone. The new process under the
		// same name must not take the payment for a new one.
		const bench = await createBench();
		const home = bench.homeAt('vm-0');
		const keyExpiry = bench.clock.date().getTime() + 60_000;
		await bench.sendAndWait('p', {home, keyExpiry});
		bench.world.kill('vm-0');
		await bench.wait(500);
		bench.world.start('vm-0');
		await bench.wait(6000);
		for (const entry of ['vm-0', 'vm-2']) {
			// eslint-disable-next-line no-await-in-loop -- one repeat after another.
			const end = await bench.sendAndWait('p', {home, keyExpiry, entry});
			expect(nameOf(end)).to.equal('unknown HomeGone');
		}

		expect(bench.runsOf('p')).to.equal(1);
	});

	it('is not run by a home that wakes after the deadline', async () => {
		// The home is paused with the payment in hand. Its caller gives up, and
		// must not find the payment made a minute later.
		const bench = await createBench();
		const sent = bench.send('p');
		bench.world.processOf('vm-0')!.gate.freeze();
		await bench.wait(2000);
		bench.world.processOf('vm-0')!.gate.thaw();
		await bench.wait(3000);
		expect(nameOf(await sent)).to.equal('no answer');
		expect(bench.violations()).to.deep.equal([]);
		expect(bench.runsOf('p')).to.be.at.most(1);
	});

	it('is not run elsewhere while its home is cut off', async () => {
		// The data centre of the home is cut off. The other side can't know
		// whether the payment ran, and must neither run it nor deny it.
		const bench = await createBench();
		const home = bench.homeAt('vm-0');
		const keyExpiry = bench.clock.date().getTime() + 20_000;
		await bench.sendAndWait('p', {home, keyExpiry});
		bench.world.network.partition(new Set(['vm-0']));
		await bench.wait(1500);
		const end = await bench.sendAndWait('p', {home, keyExpiry, entry: 'vm-1'});
		expect(nameOf(end)).to.match(/^unknown /u);
		bench.world.network.heal();
		await bench.wait(6000);
		const again = await bench.sendAndWait('p', {
			home,
			keyExpiry,
			entry: 'vm-1',
		});
		expect(nameOf(again)).to.equal('answered again');
		expect(bench.runsOf('p')).to.equal(1);
	});

	it('is refused truthfully by a home whose ledger is full', async () => {
		const bench = await createBench({ledgerKeys: 2});
		await bench.sendAndWait('a');
		await bench.sendAndWait('b');
		const end = await bench.sendAndWait('c');
		expect(nameOf(end)).to.equal('notRun LedgerFull');
		expect(bench.runsOf('c')).to.equal(0);
	});

	it('is refused once its key has expired', async () => {
		// A phone was switched off and repeats its payment long afterwards, when
		// its home has forgotten it.
		const bench = await createBench();
		const keyExpiry = bench.clock.date().getTime() + 2000;
		await bench.sendAndWait('p', {keyExpiry});
		await bench.wait(10_000);
		const end = await bench.sendAndWait('p', {keyExpiry});
		expect(nameOf(end)).to.equal('unknown KeyExpired');
		expect(bench.runsOf('p')).to.equal(1);
	});

	it('is not run again when its target was killed while running it', async () => {
		const bench = await createBench();
		bench.setTargets({slowness: 10});
		const keyExpiry = bench.clock.date().getTime() + 20_000;
		const sent = bench.send('p', {keyExpiry});
		await bench.wait(15);
		for (const target of bench.world.targets) {
			target.killRunning();
		}

		await bench.wait(1000);
		expect(nameOf(await sent)).to.equal('unknown AnswerLost');
		const again = await bench.sendAndWait('p', {keyExpiry});
		expect(nameOf(again)).to.equal('unknown AnswerLost');
		expect(bench.runsOf('p')).to.equal(1);
	});

	it('runs at another target after a refusal that its target certifies', async () => {
		const bench = await createBench();
		for (const target of bench.world.targets.slice(0, 3)) {
			target.faults.shed = 1;
		}

		const keyExpiry = bench.clock.date().getTime() + 20_000;
		const ends: string[] = [];
		for (let repeat = 0; repeat < 6; repeat++) {
			// eslint-disable-next-line no-await-in-loop -- one repeat after another.
			ends.push(nameOf(await bench.sendAndWait('p', {keyExpiry})));
		}

		expect(ends.some((end) => end.startsWith('answered'))).to.equal(true);
		expect(bench.runsOf('p')).to.equal(1);
		expect(bench.violations()).to.deep.equal([]);
	});

	describe('at nodes without a ledger', () => {
		it('runs twice when it is repeated after its answer', async () => {
			// The check that the cases above can fail.
			const bench = await createBench({handler: 'withoutLedger'});
			const keyExpiry = bench.clock.date().getTime() + 20_000;
			await bench.sendAndWait('p', {keyExpiry});
			await bench.sendAndWait('p', {keyExpiry, entry: 'vm-3'});
			expect(bench.runsOf('p')).to.equal(2);
			expect(bench.violations().map(({checker}) => checker)).to.deep.equal([
				'noKeyRanTwice',
			]);
		});

		it('runs for each copy that is under way at once', async () => {
			const bench = await createBench({handler: 'withoutLedger'});
			const copies = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
			const sent = copies.map(async (entry) => bench.send('p', {entry}));
			await bench.wait(1000);
			await Promise.all(sent);
			expect(bench.runsOf('p')).to.equal(4);
		});
	});
});
