import {expect} from 'chai';
import {
	createTestCluster,
	describeOutcome,
	type TestCluster,
} from './test-cluster.js';

/** Maximum crashes: 3 before the request is quarantined, and as many until all nodes receive the quarantine. */
const maxCrashes = 6;
const deadly = {method: 'GET', path: '/deadly'} as const;

describe('a request that crashes every target that runs it, at the product’s own interface', () => {
	const createDeadlyCluster = async () => {
		const cluster = await createTestCluster();
		cluster.setTargets({crashPath: deadly.path});
		return cluster;
	};

	/** Sends it repeatedly, each time to the next node; returns the outcomes. */
	const repeatRequest = async (
		cluster: TestCluster,
		times: number,
		fields: Parameters<TestCluster['send']>[1] = {},
	): Promise<string[]> => {
		const ends: string[] = [];
		for (let index = 0; index < times; index++) {
			const entry = `vm-${index % 4}`;
			// eslint-disable-next-line no-await-in-loop -- sequential retries.
			const result = await cluster.sendAndWait('deadly', {
				...deadly,
				entry,
				...fields,
			});
			ends.push(describeOutcome(result));
			// eslint-disable-next-line no-await-in-loop -- until the targets have restarted.
			await cluster.wait(2000);
		}

		return ends;
	};

	// Guards against a request that crashes one target after another because callers retry it.
	it('is not run after it has crashed three targets', async () => {
		const cluster = await createDeadlyCluster();
		const ends = await repeatRequest(cluster, 12);
		expect(cluster.countRuns('deadly')).to.be.within(3, maxCrashes);
		expect(ends.at(-1)).to.equal('unknown Quarantined');
		expect(ends.join(' ')).not.to.contain('notRun');
	});

	// Guards against the same by callers that use a new key for each attempt.
	it('is not run after three crashes when each attempt has a new key', async () => {
		const cluster = await createDeadlyCluster();
		for (let index = 0; index < 8; index++) {
			// eslint-disable-next-line no-await-in-loop -- sequential retries.
			const result = await cluster.sendAndWait('deadly', {
				path: deadly.path,
				entry: `vm-${index % 4}`,
				key: `key-${index}`,
			});
			expect(describeOutcome(result)).not.to.contain('notRun');
			// eslint-disable-next-line no-await-in-loop -- until the targets have restarted.
			await cluster.wait(2000);
		}

		expect(cluster.countRuns('deadly')).to.be.within(3, maxCrashes);
	});

	// Guards against nodes that lose the quarantine when all restart at once.
	it('stays quarantined when all nodes restart', async () => {
		const cluster = await createDeadlyCluster();
		await repeatRequest(cluster, 8);
		const before = cluster.countRuns('deadly');
		for (const name of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) {
			cluster.world.kill(name);
		}

		await cluster.wait(100);
		for (const name of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) {
			cluster.world.start(name);
		}

		await cluster.wait(10_000);
		await repeatRequest(cluster, 4);
		expect(cluster.countRuns('deadly')).to.equal(before);
	});

	// Guards against a quarantine of requests that were only in flight at a target that crashed.
	it('does not quarantine requests that ran on the same targets', async () => {
		const cluster = await createDeadlyCluster();
		for (let round = 0; round < 8; round++) {
			const entry = `vm-${round % 4}`;
			const bystanders = Array.from({length: 6}, async (_, index) =>
				cluster.send(`bystander-${index}`, {
					method: 'GET',
					path: `/read/${index}`,
					entry,
				}),
			);
			void cluster.send('deadly', {...deadly, entry});
			// eslint-disable-next-line no-await-in-loop -- sequential rounds.
			await cluster.wait(3000);
			// eslint-disable-next-line no-await-in-loop -- as above.
			await Promise.all(bystanders);
		}

		for (let index = 0; index < 6; index++) {
			// eslint-disable-next-line no-await-in-loop -- sequential calls.
			const result = await cluster.sendAndWait(`bystander-${index}`, {
				method: 'GET',
				path: `/read/${index}`,
			});
			expect(describeOutcome(result)).to.equal('answered');
		}
	});
});
