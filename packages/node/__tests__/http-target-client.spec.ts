import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
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

	beforeEach(async () => {
		responses = [];
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				socket.write(responses.shift() ?? '');
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

	it('accepts a response that names no request', async () => {
		responses = ['HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'];
		expect(await send('a')).to.equal('answer');
	});
});
