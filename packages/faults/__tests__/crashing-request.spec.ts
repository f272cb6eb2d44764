import {expect} from 'chai';
import {createBench, nameOf, type Bench} from './bench.js';

/** Targets that a request may crash before it is known, and as often again while nodes hear of it. */
const mostCrashes = 6;
const deadly = {method: 'GET', path: '/deadly'} as const;

describe('a request that crashes every target that runs it, by our own interface', () => {
	const createDeadlyBench = async () => {
		const bench = await createBench();
		bench.setTargets({crashedBy: deadly.path});
		return bench;
	};

	/** Repeats it at one node after the other; gives how the attempts end. */
	const repeat = async (
		bench: Bench,
		times: number,
		fields: Parameters<Bench['send']>[1] = {},
	): Promise<string[]> => {
		const ends: string[] = [];
		for (let index = 0; index < times; index++) {
			const entry = `vm-${index % 4}`;
			// eslint-disable-next-line no-await-in-loop -- one repeat after the other.
			const result = await bench.sendAndWait('deadly', {
				...deadly,
				entry,
				...fields,
			});
			ends.push(nameOf(result));
			// eslint-disable-next-line no-await-in-loop -- until the targets are back.
			await bench.wait(2000);
		}

		return ends;
	};

	// Guards against a request that ends one target after the other as its callers repeat it.
	it('is run by no target any more once three have crashed under it', async () => {
		const bench = await createDeadlyBench();
		const ends = await repeat(bench, 12);
		expect(bench.runsOf('deadly')).to.be.within(3, mostCrashes);
		expect(ends.at(-1)).to.equal('unknown Quarantined');
		expect(ends.join(' ')).not.to.contain('notRun');
	});

	// Guards against the same by callers that take a new key each time.
	it('is run by no target any more though each repeat has a key of its own', async () => {
		const bench = await createDeadlyBench();
		for (let index = 0; index < 8; index++) {
			// eslint-disable-next-line no-await-in-loop -- one repeat after the other.
			const result = await bench.sendAndWait('deadly', {
				path: deadly.path,
				entry: `vm-${index % 4}`,
				key: `key-${index}`,
			});
			expect(nameOf(result)).not.to.contain('notRun');
			// eslint-disable-next-line no-await-in-loop -- until the targets are back.
			await bench.wait(2000);
		}

		expect(bench.runsOf('deadly')).to.be.within(3, mostCrashes);
	});

	// Guards against nodes that forget it by a restart, all at once.
	it('stays out when all nodes start again', async () => {
		const bench = await createDeadlyBench();
		await repeat(bench, 8);
		const before = bench.runsOf('deadly');
		for (const name of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) {
			bench.world.kill(name);
		}

		await bench.wait(100);
		for (const name of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) {
			bench.world.start(name);
		}

		await bench.wait(10_000);
		await repeat(bench, 4);
		expect(bench.runsOf('deadly')).to.equal(before);
	});

	// Guards against a quarantine of requests that were merely at a target when it crashed.
	it('takes none of the requests with it that were at the same targets', async () => {
		const bench = await createDeadlyBench();
		for (let round = 0; round < 8; round++) {
			const entry = `vm-${round % 4}`;
			const bystanders = Array.from({length: 6}, async (_, index) =>
				bench.send(`bystander-${index}`, {
					method: 'GET',
					path: `/read/${index}`,
					entry,
				}),
			);
			void bench.send('deadly', {...deadly, entry});
			// eslint-disable-next-line no-await-in-loop -- one round after the other.
			await bench.wait(3000);
			// eslint-disable-next-line no-await-in-loop -- as above.
			await Promise.all(bystanders);
		}

		for (let index = 0; index < 6; index++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other.
			const result = await bench.sendAndWait(`bystander-${index}`, {
				method: 'GET',
				path: `/read/${index}`,
			});
			expect(nameOf(result)).to.equal('answered');
		}
	});
});
