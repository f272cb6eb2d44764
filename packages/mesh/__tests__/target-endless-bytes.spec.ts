import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';
import type {Outcome} from '../src/links/exchange.js';
import {
	createTargetClient,
	type TargetClient,
} from '../src/target/target-client.js';
import {
	createAnswer,
	startRawTarget,
	writeWithoutEnd,
	type RawTarget,
} from './raw-target.js';
import {
	createTargetRequest,
	targetHeaderNames,
	waitForTurn,
} from './target-client-fixture.js';

/** Memory of the node in bytes. */
const memory = 350_000_000;

describe('the target client, when bytes arrive without end', () => {
	let target: RawTarget;
	let client: TargetClient;
	let budget: MemoryBudget;

	beforeEach(async () => {
		target = await startRawTarget();
		budget = createMemoryBudget(memory);
		client = createTargetClient({
			endpoint: {address: target.address, targetId: 'target-1'},
			headerNames: targetHeaderNames,
			clock: createVirtualClock(),
			budget,
			onReplaced: () => undefined,
			onUnreachable: () => undefined,
			nextOrdinal: () => 1,
			onNotice: () => undefined,
			onConnect: () => undefined,
			onForeignResponse: () => undefined,
		});
	});

	afterEach(async () => {
		client.close();
		await target.close();
	});

	const run = async (id: string) =>
		new Promise<Outcome>((resolve) => {
			client.run(createTargetRequest(id), 900.5, resolve);
		});

	/** Runs a request with an ordinary answer and returns the ordinal of its connection. */
	const connectionOfNext = async () => {
		target.setBehaviour(({socket, id}) => {
			socket.write(createAnswer(id));
		});
		const outcome = await run('next');
		expect(outcome).to.deep.include({
			kind: 'answered',
			status: 200,
			body: Buffer.from('done'),
		});
		return target.requests.at(-1)!.connection;
	};

	const headOf = (id: string, line: string) =>
		`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSigned: signed\r\n${line}`;
	const kilobyte = 'x'.repeat(1024);
	const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
	/** The bytes before the endless ones, and those that are repeated. */
	const endless: Record<string, (id: string) => [string, string]> = {
		'that are no response': () => ['', kilobyte],
		'in a status line': () => ['HTTP/1.1 200 ', kilobyte],
		'in a header': (id) => [headOf(id, 'Note: '), kilobyte],
		'as headers': (id) => [headOf(id, ''), `Note: ${kilobyte}\r\n`],
		'as interim responses': () => ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
		'as responses to another request': () => [
			'',
			createAnswer('other', kilobyte),
		],
		'as the body of a response to another request': () => [
			headOf('other', '\r\n'),
			kilobyte,
		],
		'in the size of a chunk': (id) => [headOf(id, chunked), '0'.repeat(1024)],
		'in the extension of a chunk': (id) => [
			headOf(id, `${chunked}4;`),
			kilobyte,
		],
		'as trailers': (id) => [
			headOf(id, `${chunked}0\r\n`),
			`Note: ${kilobyte}\r\n`,
		],
	};
	const expectClosed = async (bytesOf: (id: string) => [string, string]) => {
		target.setBehaviour(({socket, id}) => {
			const [start, repeated] = bytesOf(id);
			socket.write(start);
			writeWithoutEnd(socket, Buffer.from(repeated.repeat(32)));
		});
		expect(await run('a')).to.include({kind: 'lost'});
		await waitForTurn(() => target.connections.size === 0);
		expect(await connectionOfNext()).to.equal(1);
	};

	const expectBounded = async (line: string, chunk: string) => {
		target.setBehaviour(({socket, id}) => {
			socket.write(headOf(id, line));
			writeWithoutEnd(socket, Buffer.from(chunk.repeat(32)));
		});
		const outcome = await run('a');
		const {stream} = outcome as Outcome & {kind: 'answered'};
		for (let turn = 0; turn < 2000; turn++) {
			// eslint-disable-next-line no-await-in-loop -- one turn after the other.
			await nextTurn();
		}

		expect(budget.held.streams).to.be.below(memory / 10);
		stream!.cancel();
		await waitForTurn(() => target.connections.size === 0);
		expect(budget.held.streams).to.equal(0);
		expect(await connectionOfNext()).to.equal(1);
	};

	for (const [place, bytesOf] of Object.entries(endless)) {
		// Guards against a connection that keeps the node busy until the request's deadline.
		it(`${place}, reports the request as lost and closes the connection`, async () =>
			expectClosed(bytesOf));
	}

	// Guards against memory that fills up, and against reading on after the caller has left.
	it('in a body without a length, reads no more than fits and ends with its reader', async () =>
		expectBounded('\r\n', kilobyte));

	// As above.
	it('in a body in chunks, reads no more than fits and ends with its reader', async () =>
		expectBounded(chunked, `400\r\n${kilobyte}\r\n`));
});
