import {createServer, type AddressInfo} from 'node:net';
import {
	createHttpPlatform,
	type HttpPlatform,
	type PlatformError,
	type Row,
} from '@egretspoke/storage';
import {createSystemClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {ResultAsync} from 'neverthrow';
import {startPlatformServer, type PlatformServer} from '../src/index.js';

const clock = createSystemClock({keepAlive: true});

describe('platform over HTTP', () => {
	let server: PlatformServer;
	let platform: HttpPlatform;

	beforeEach(async () => {
		server = await startPlatformServer({
			clock: createSystemClock(),
			credential: 'secret',
		});
		platform = connect(server.address);
	});

	afterEach(async () => {
		await platform.close();
		await server.close();
	});

	it('reads the rows of a transaction in key order', async () => {
		const {table, objects} = platform;
		const written = await table.transact([
			{kind: 'put', key: 'a/2 ä', value: 'two', ifVersion: 0},
			{kind: 'put', key: 'a/1', value: 'one'},
		]);
		expect(written.isOk()).to.equal(true);
		const rows = await unwrap(table.list('a/'));
		expect(rows.map(({key}) => key)).to.deep.equal(['a/1', 'a/2 ä']);
		expect(await valueOf(table.read('a/2 ä'))).to.equal('two');
		expect(await unwrap(table.read('b'))).to.equal(undefined);
		await objects.put('body/1', 'text');
		expect(await unwrap(objects.get('body/1'))).to.equal('text');
		expect(await unwrap(objects.get('body/2'))).to.equal(undefined);
	});

	it('writes nothing of a transaction whose condition fails', async () => {
		const {table} = platform;
		await table.transact([{kind: 'put', key: 'a', value: 'first'}]);
		const result = await table.transact([
			{kind: 'put', key: 'b', value: 'second'},
			{kind: 'put', key: 'a', value: 'second', ifVersion: 0},
		]);
		expect(result._unsafeUnwrapErr().kind).to.equal('conflict');
		expect(await unwrap(table.read('b'))).to.equal(undefined);
	});

	it('reports unavailable when the platform certifies that a call had no effect', async () => {
		server.platform.faults.down = true;
		const {table} = platform;
		const write = await table.transact([{kind: 'put', key: 'a', value: ''}]);
		expect(write._unsafeUnwrapErr().kind).to.equal('unavailable');
		expect(await failureOf(table.read('a'))).to.equal('unavailable');
	});

	it('reports unknown when the answer to a write is lost after its effect', async () => {
		// The platform writes the row and the connection breaks before the answer
		// arrives. If the client reported a failure, the operator would confirm a
		// change that is already in force again.
		server.platform.faults.lostAnswers = 1;
		const {table} = platform;
		const write = await table.transact([{kind: 'put', key: 'a', value: 'x'}]);
		expect(write._unsafeUnwrapErr().kind).to.equal('unknown');
		expect(await valueOf(table.read('a'))).to.equal('x');
	});

	it('reports unknown for a write and unavailable for a read that time out', async () => {
		server.platform.faults.delay = 60_000;
		const quick = connect(server.address, 50);
		const write = await quick.table.transact([
			{kind: 'put', key: 'a', value: ''},
		]);
		expect(write._unsafeUnwrapErr().kind).to.equal('unknown');
		expect(await failureOf(quick.table.read('a'))).to.equal('unavailable');
		await quick.close();
	});

	it('reports unavailable when the connection is refused', async () => {
		// No process listens at the address, so nothing was sent. If the client
		// reported unknown, the operator would search for an impossible effect.
		const refused = connect(await findFreeAddress());
		const write = await refused.table.transact([
			{kind: 'put', key: 'a', value: ''},
		]);
		expect(write._unsafeUnwrapErr().kind).to.equal('unavailable');
		await refused.close();
	});

	it('rejects a wrong credential without an effect', async () => {
		const stranger = createHttpPlatform({
			address: server.address,
			timeout: 5000,
			clock,
			credential: 'guess',
		});
		const write = await stranger.table.transact([
			{kind: 'put', key: 'a', value: ''},
		]);
		expect(write._unsafeUnwrapErr().kind).to.equal('unavailable');
		await stranger.close();
	});
});

function connect(address: string, timeout = 5000): HttpPlatform {
	return createHttpPlatform({address, timeout, clock, credential: 'secret'});
}

async function findFreeAddress(): Promise<string> {
	const probe = createServer();
	await new Promise<void>((resolve) => {
		probe.listen(0, '127.0.0.1', resolve);
	});
	const {port} = probe.address() as AddressInfo;
	await new Promise((resolve) => {
		probe.close(resolve);
	});
	return `127.0.0.1:${port}`;
}

async function unwrap<T>(result: ResultAsync<T, PlatformError>): Promise<T> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

async function valueOf(
	result: ResultAsync<Row | undefined, PlatformError>,
): Promise<string | undefined> {
	const row = await unwrap(result);
	return row?.value;
}

async function failureOf<T>(
	result: ResultAsync<T, PlatformError>,
): Promise<PlatformError['kind']> {
	const settled = await result;
	return settled._unsafeUnwrapErr().kind;
}
