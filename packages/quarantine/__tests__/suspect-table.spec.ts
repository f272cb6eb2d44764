import {expect} from 'chai';
import {
	createSuspectTable,
	identifyRequest,
	isIsolated,
	isQuarantined,
	retentionPeriod,
	type RequestParts,
	type SuspectTable,
} from '../src/index.js';

const partsOf = (name: string): RequestParts => ({
	caller: '',
	method: 'GET',
	host: 'shop.example',
	path: `/read/${name}`,
	body: new Uint8Array(),
});
const identityOf = (name: string) => identifyRequest(partsOf(name));
const run = (name: string, startedAt: number, crashes = 0) => ({
	identity: identityOf(name),
	startedAt,
	crashes,
});
const lookUp = (table: SuspectTable, name: string, now = 0) =>
	table.lookUp(`/read/${name}`, 0, () => partsOf(name), now);
const crashesOf = (table: SuspectTable, name: string) =>
	lookUp(table, name)?.crashes ?? 0;

describe('a request that crashes each target that runs it', () => {
	it('is isolated after the second crash and quarantined after the third', () => {
		const table = createSuspectTable();
		for (const [index, level] of [
			[1, {isolated: false, quarantined: false}],
			[2, {isolated: true, quarantined: false}],
			[3, {isolated: true, quarantined: true}],
		] as const) {
			table.recordCrash([run('deadly', index * 1000)], index * 1000 + 100);
			const suspect = lookUp(table, 'deadly')!;
			expect(isIsolated(suspect)).to.equal(level.isolated);
			expect(isQuarantined(suspect)).to.equal(level.quarantined);
		}
	});

	it('is counted from the crashes that its sender had recorded, before updates arrive', () => {
		const table = createSuspectTable();
		table.recordCrash([run('deadly', 0, 2)], 100);
		expect(crashesOf(table, 'deadly')).to.equal(3);
	});

	it('is the only one that a crash counts against once it is isolated', () => {
		const table = createSuspectTable();
		table.recordCrash([run('deadly', 0, 1)], 100);
		table.recordCrash([run('deadly', 200), run('other', 200, 1)], 300);
		expect(crashesOf(table, 'deadly')).to.equal(3);
		expect(crashesOf(table, 'other')).to.equal(0);
	});
});

describe('an innocent request that was running at a crash', () => {
	// Guards against a quarantine caused by targets that are killed at the same time.
	it('is counted once for targets that crash at the same time', () => {
		const table = createSuspectTable();
		for (let target = 0; target < 5; target++) {
			table.recordCrash([run('popular', 0)], 100 + target);
		}

		expect(crashesOf(table, 'popular')).to.equal(1);
	});

	// Guards against a quarantine of a popular request while targets crash one after another.
	it('is cleared by an answer', () => {
		const table = createSuspectTable();
		for (let crash = 0; crash < 9; crash++) {
			table.recordCrash([run('popular', crash * 1000)], crash * 1000 + 100);
			table.clear(identityOf('popular'), crash * 1000 + 200);
		}

		expect(lookUp(table, 'popular')).to.equal(undefined);
	});

	it('stays cleared when an older report arrives late', () => {
		const table = createSuspectTable();
		const reports = table.recordCrash([run('popular', 0, 2)], 100);
		table.clear(identityOf('popular'), 200);
		expect(table.merge(reports, 300)).to.deep.equal([]);
		expect(lookUp(table, 'popular')).to.equal(undefined);
	});

	it('can become a suspect again after it was cleared', () => {
		const table = createSuspectTable();
		table.recordCrash([run('changed', 0)], 100);
		table.clear(identityOf('changed'), 200);
		table.recordCrash([run('changed', 300)], 400);
		expect(crashesOf(table, 'changed')).to.equal(1);
	});
});

describe('reports of suspects between nodes', () => {
	it('merge to the same result in any order, also when repeated', () => {
		const identity = identityOf('deadly');
		const reports = [
			{identity, round: 0, crashes: 3},
			{identity, round: 1, crashes: 0},
			{identity, round: 1, crashes: 1},
		];
		for (const order of [reports, [...reports].reverse()]) {
			const table = createSuspectTable();
			for (const report of [...order, ...order]) {
				table.merge([report], 0);
			}

			expect(table.list(9)).to.deep.equal([{identity, round: 1, crashes: 1}]);
		}
	});

	it('are returned for forwarding only when they are new', () => {
		const table = createSuspectTable();
		const report = {identity: identityOf('deadly'), round: 0, crashes: 2};
		expect(table.merge([report], 0)).to.deep.equal([report]);
		expect(table.merge([report], 0)).to.deep.equal([]);
	});

	it('are listed with the most crashes first', () => {
		const table = createSuspectTable();
		table.recordCrash([run('bystander', 0)], 100);
		table.recordCrash([run('deadly', 0, 2)], 100);
		expect(table.list(1)).to.deep.equal([
			{identity: identityOf('deadly'), round: 0, crashes: 3},
		]);
	});
});

describe('the retention of suspects', () => {
	it('ends when a request is no longer repeated, and not before', () => {
		const table = createSuspectTable();
		table.recordCrash([run('deadly', 0, 2), run('gone', 0, 2)], 100);
		lookUp(table, 'deadly', retentionPeriod);
		table.expire(retentionPeriod + 200);
		expect(lookUp(table, 'gone')).to.equal(undefined);
		expect(crashesOf(table, 'deadly')).to.equal(3);
	});

	it('is bounded, and evicts quarantined requests last', () => {
		const table = createSuspectTable();
		table.recordCrash([run('deadly', 0, 2)], 100);
		for (let crash = 0; crash < 100; crash++) {
			const runs = Array.from({length: 100}, (_, index) =>
				run(`${crash}-${index}`, crash),
			);
			table.recordCrash(runs, crash);
		}

		expect(table.list(20_000)).to.have.length(1000);
		expect(crashesOf(table, 'deadly')).to.equal(3);
	});

	it('computes no digest for requests with another path or body length', () => {
		const table = createSuspectTable();
		table.recordCrash([run('deadly', 0)], 100);
		const refuseDigest = () => {
			throw new Error('the digest must not be computed');
		};

		expect(table.lookUp('/read/other', 0, refuseDigest, 0)).to.equal(undefined);
		expect(table.lookUp('/read/deadly', 9, refuseDigest, 0)).to.equal(
			undefined,
		);
	});
});
