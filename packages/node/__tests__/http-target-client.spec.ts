import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {headerNames, type CallRequest} from '@egretspoke/protocol';
import {expect} from 'chai';
import {createHttpTargetClient} from '../src/http-target-client.js';

const createRequest = (id: string): CallRequest => ({
	id,
	service: 'orders',
	method: 'POST',
	path: '/pay',
	headers: {},
	body: new Uint8Array(),
	requestClass: 'normal',
	caller: 'shop',
	timeLeft: 1000,
	attempts: 1,
	idempotent: false,
});

describe('the HTTP client of the local target', () => {
	let server: Server;
	let client: ReturnType<typeof createHttpTargetClient>;
	/** What the target writes for each request, in their order. */
	let responses: string[];
	/** Written again and again after a response, until the connection closes. */
	let endlessBytes: Uint8Array | undefined;
	let connections: Set<Socket>;

	beforeEach(async () => {
		responses = [];
		endlessBytes = undefined;
		connections = new Set();
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			connections.add(socket);
			socket.on('close', () => connections.delete(socket));
			socket.on('data', () => {
				socket.write(responses.shift() ?? '');
				const bytes = endlessBytes;
				if (bytes) {
					const writeNext = () => {
						while (!socket.destroyed && socket.write(bytes)) {
							// The system's buffer has room.
						}
					};

					socket.on('drain', writeNext);
					writeNext();
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		client = createHttpTargetClient({
			address: `127.0.0.1:${port}`,
			connections: 1,
			bodyLimit: 1000,
		});
	});

	afterEach(async () => {
		await client.close();
		server.close();
	});

	const respond = (id: string, head = '200 OK', line = '') =>
		`HTTP/1.1 ${head}\r\n${headerNames.request}: ${id}\r\n${line}Content-Length: 0\r\n\r\n`;

	const send = async (id: string) => {
		const {signal} = new AbortController();
		const {kind} = await client.send(createRequest(id), 1000, signal);
		return kind;
	};

	describe('when a late copy of an earlier response arrives', () => {
		// A copy of a refusal passed for the response to a payment that ran; it was then sent to another target.
		it('does not take it for the response to the request under way', async () => {
			const refusal = respond(
				'a',
				'503 Busy',
				`${headerNames.shed}: not-run\r\n`,
			);
			responses = [refusal, refusal + respond('b')];
			expect(await send('a')).to.equal('shed');
			expect(await send('b')).to.equal('lost');
		});

		it('goes on with a new connection', async () => {
			responses = [respond('a'), respond('a') + respond('b'), respond('c')];
			expect(await send('a')).to.equal('answer');
			expect(await send('b')).to.equal('lost');
			expect(await send('c')).to.equal('answer');
		});
	});

	describe('when bytes arrive without end', () => {
		const kilobyte = 'x'.repeat(1024);
		const headOf = (line: string) =>
			`HTTP/1.1 200 OK\r\n${headerNames.request}: a\r\n${line}`;
		const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
		/** The bytes before the endless ones, and those that are repeated. */
		const endless: Record<string, [string, string]> = {
			'that are no response': ['', kilobyte],
			'in a status line': ['HTTP/1.1 200 ', kilobyte],
			'in a header': [headOf('Note: '), kilobyte],
			'as headers': [headOf(''), `Note: ${kilobyte}\r\n`],
			'as interim responses': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
			'as responses to another request': ['', respond('other')],
			'in the size of a chunk': [headOf(chunked), '0'.repeat(1024)],
			'in the extension of a chunk': [headOf(`${chunked}4;`), kilobyte],
			'as trailers': [headOf(`${chunked}0\r\n`), `Note: ${kilobyte}\r\n`],
			'in a body without a length': [headOf('\r\n'), kilobyte],
			'in a body in chunks': [headOf(chunked), `400\r\n${kilobyte}\r\n`],
		};
		const expectClosed = async (start: string, repeated: string) => {
			responses = [start];
			endlessBytes = Buffer.from(repeated.repeat(32));
			expect(await send('a')).to.be.oneOf(['lost', 'cut']);
			endlessBytes = undefined;
			responses = [respond('b')];
			expect(await send('b')).to.equal('answer');
			expect(connections.size).to.equal(1);
		};

		for (const [place, [start, repeated]] of Object.entries(endless)) {
			// Guards against a connection that keeps the node busy until the request's deadline.
			it(`${place}, ends the request and closes the connection`, async () =>
				expectClosed(start, repeated));
		}
	});

	describe('when a transfer coding is applied beside chunks', () => {
		const chunks = '4\r\nfour\r\n0\r\n\r\n';
		const respondIn = (coding: string) =>
			`HTTP/1.1 200 OK\r\n${headerNames.request}: a\r\n${coding}\r\n\r\n${chunks}`;
		const codings = [
			'Transfer-Encoding: gzip, chunked',
			'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
			'Transfer-Encoding: chunked, chunked',
			'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
			'Transfer-Encoding: chunked, gzip',
			'Transfer-Encoding: gzip',
			'Transfer-Encoding: identity',
			'Transfer-Encoding:',
		];
		const expectLost = async (coding: string) => {
			responses = [respondIn(coding), respond('b')];
			expect(await send('a')).to.equal('lost');
			expect(await send('b')).to.equal('answer');
		};

		for (const coding of codings) {
			// Guards against coded bytes, or the framing of chunks, that pass for the body.
			it(`is lost (${coding.replace('\r\n', ', ')})`, async () =>
				expectLost(coding));
		}

		it('reads chunks, however their coding is spelled', async () => {
			responses = [respondIn('TRANSFER-encoding: Chunked '), respond('b')];
			expect(await send('a')).to.equal('answer');
			expect(await send('b')).to.equal('answer');
		});
	});

	it('accepts a response that names no request', async () => {
		responses = ['HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'];
		expect(await send('a')).to.equal('answer');
	});
});
