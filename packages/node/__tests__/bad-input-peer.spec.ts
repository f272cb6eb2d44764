import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {encodeMessage, type Message} from '@egretspoke/protocol';
import {createSystemClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocket, WebSocketServer} from 'ws';
import {createHandshake} from '../src/peer-handshake.js';
import {openChannel} from '../src/web-socket-channel.js';
import {
	exchangeRaw,
	secrets,
	startFixture,
	type ListenerFixture,
} from './listener-fixture.js';

const malformed = (kind: string) =>
	`egretspoke_malformed_input_total{listener="peer",kind="${kind}"}`;

const unknownPeer = {node: 'vm-9', incarnation: 1, dataCentre: 'a'};

const call: Message = {
	type: 'call',
	exchange: 1,
	role: 'run',
	request: {
		id: 'r1',
		service: 'orders',
		method: 'GET',
		path: '/',
		headers: {},
		body: new Uint8Array(),
		requestClass: 'essential',
		caller: 'x',
		timeLeft: 1000,
		attempts: 1,
		idempotent: true,
	},
};

describe('a channel whose peer was refused', () => {
	it('decodes and queues no further messages', async () => {
		// A peer ignores the close and floods the connection. If its messages were
		// queued for a reader that has gone, the memory of the node would grow
		// until the socket is dropped, half a minute later.
		const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const client = new WebSocket(`ws://127.0.0.1:${port}`);
		const [accepted] = (await once(server, 'connection')) as [WebSocket];
		const malformedSeen: string[] = [];
		const opening = openChannel(accepted, 'acceptor', {
			clock: createSystemClock(),
			self: () => ({node: 'vm-1', incarnation: 1, dataCentre: 'a'}),
			secret: secrets.peer,
			onMalformed: (detail) => malformedSeen.push(detail),
		});
		await once(client, 'message');
		client.pause();
		client.send(encodeMessage(call));
		const refused = await opening;
		expect(refused._unsafeUnwrapErr()).to.equal('nonsense');
		const received = once(accepted, 'message');
		client.send(Buffer.from([0xc1]));
		await received;
		expect(malformedSeen).to.deep.equal([]);
		client.terminate();
		server.close();
	});
});

describe('bad input at the peer listener', () => {
	let fixture: ListenerFixture;

	beforeEach(async () => {
		fixture = await startFixture();
	});

	afterEach(async () => {
		const answer = await fixture.sendRequest();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await fixture.close();
	});

	const open = async () => {
		const socket = new WebSocket(`ws://${fixture.node.addresses.peer}`);
		socket.on('error', () => undefined);
		await once(socket, 'open');
		return socket;
	};

	/** Sends messages and returns the code with which the node closes. */
	const sendAll = async (...messages: Array<Message | Uint8Array>) => {
		const socket = await open();
		const closed = once(socket, 'close') as Promise<[number]>;
		for (const message of messages) {
			socket.send(
				message instanceof Uint8Array ? message : encodeMessage(message),
			);
		}

		const [code] = await closed;
		return code;
	};

	const expectMalformed = async (bytes: Uint8Array) => {
		expect(await sendAll(bytes)).to.equal(1002);
		expect(await fixture.count(malformed('message'))).to.equal(1);
	};

	it('runs no request of a peer that skips the handshake', async () => {
		// A caller uses the peer port to have its request run past the checks of
		// the entry. No message is accepted before the secret is proved.
		expect(await sendAll(call)).to.equal(1008);
		expect(fixture.received()).to.equal(0);
		expect(await fixture.count(malformed('handshake'))).to.equal(1);
	});

	it('refuses a peer without the secret', async () => {
		const handshake = createHandshake('opener', unknownPeer, 'guessed');
		const code = await sendAll(handshake.hello, {
			type: 'proof',
			signature: '0'.repeat(64),
		});
		expect(code).to.equal(1008);
		expect(await fixture.count(malformed('handshake'))).to.equal(1);
	});

	it('refuses another protocol version', async () => {
		// During an upgrade two versions meet. One that partly understands the
		// other would misread requests, which shows as wrong answers and not as
		// errors.
		const {hello} = createHandshake('opener', unknownPeer, secrets.peer);
		const old: Message = {...hello, version: 99};
		expect(await sendAll(old)).to.equal(1008);
		expect(await fixture.count(malformed('handshake'))).to.equal(1);
	});

	for (const [name, bytes] of Object.entries({
		'bytes that are not a message': Buffer.from([0xc1, 0xff, 0x00]),
		'an empty message': Buffer.alloc(0),
		'a message of an unknown type': encodeMessage({
			type: 'nonsense',
		} as unknown as Message),
		'a message with a field of the wrong type': encodeMessage({
			type: 'hello',
			version: 'one',
		} as unknown as Message),
	})) {
		it(`closes on ${name}`, async () => expectMalformed(bytes));
	}

	it('closes on a message over the limit', async () => {
		// One peer sends a message of gigabytes. Without a limit it would use the
		// memory of the whole node.
		expect(await sendAll(Buffer.alloc(2 * 1024 * 1024))).to.equal(1009);
	});

	it('refuses plain HTTP and invalid bytes', async () => {
		const {peer} = fixture.node.addresses;
		expect(
			await exchangeRaw(peer, 'GET / HTTP/1.1\r\nhost: n\r\n\r\n'),
		).to.match(/^HTTP\/1\.1 426 /u);
		expect(await exchangeRaw(peer, 'nonsense\r\n\r\n')).to.match(
			/^HTTP\/1\.1 400 /u,
		);
	});
});
