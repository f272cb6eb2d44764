import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer, type WebSocket} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createPeerLink, type PeerLink} from '../src/links/peer-link.js';
import type {ForwardedRequest, Outcome} from '../src/links/exchange.js';
import {addFrameHeader, maxHeaderLength} from '../src/links/socket-frame.js';
import {
	decodeFrame,
	encodeFrame,
	type PeerMessage,
} from '../src/links/peer-message.js';

const request: ForwardedRequest = {
	requestId: 'id',
	method: 'GET',
	path: '/x',
	headers: [],
	body: undefined,
	route: 'read',
	service: 'orders',
	isIdempotent: true,
	isInner: false,
	isNearCompletion: false,
	repeatShare: 0,
	crashes: 0,
	priority: 0,
	maxWait: 0,
	timeLeft: 5000,
};

describe('the link to a node that has become silent', () => {
	let server: WebSocketServer;
	let link: PeerLink;

	beforeEach(async () => {
		server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
	});

	afterEach(() => {
		link.close();
		server.close();
	});

	it('counts as silent when the answer to a probe is late, until the next message', async () => {
		// A data centre is cut off without connection resets, so its links look
		// usable. Until the answer timeout, every third call would be sent over them
		// and lost, although other targets are available.
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const connected = once(server, 'connection') as Promise<[WebSocket]>;
		let onReceived: () => void = () => undefined;
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${port}`,
				clock,
				hello: () => [],
				onMessage() {
					onReceived();
				},
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onChange() {
					resolve();
				},
			});
		});
		const [peer] = await connected;
		clock.advanceTo(4000);
		link.probe();
		expect(link.isSilent()).to.equal(false);
		clock.advanceTo(4150);
		expect(link.isSilent()).to.equal(true);
		expect(link.isUsable()).to.equal(true);

		const received = new Promise<void>((resolve) => {
			onReceived = resolve;
		});
		peer.send(
			encodeFrame({sentAt: 0, messages: [{kind: 'version', version: 1}]}),
		);
		await received;
		expect(link.isSilent()).to.equal(false);
	});

	it('is probed for the silence since a request, not for the silence before it', async () => {
		// A link with few requests is silent most of the time. If the silence before
		// a request counted, nearly every request would cause a probe, which wakes
		// up both nodes. If none counted, a request on a dead link would wait until
		// its deadline.
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const kinds: string[] = [];
		let onKind: () => void = () => undefined;
		server.on('connection', (peer: WebSocket) => {
			peer.on('message', (data: Uint8Array) => {
				const {messages} = decodeFrame(data)._unsafeUnwrap();
				kinds.push(...messages.map(({kind}) => kind));
				onKind();
			});
		});
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${port}`,
				clock,
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onChange() {
					resolve();
				},
			});
		});
		clock.advanceTo(2000);
		link.send(request, () => undefined);
		clock.advanceTo(2050);
		link.probe();
		clock.advanceTo(2250);
		expect(link.isSilent()).to.equal(false);
		const probed = new Promise<void>((resolve) => {
			onKind = () => {
				if (kinds.includes('ping')) {
					resolve();
				}
			};
		});
		link.probe();
		await probed;
		expect(kinds).to.deep.equal(['request', 'ping']);
	});

	// It was never closed: the node at its other end sent every state and load twice from then on.
	it('closes an abandoned connection once the last request on it has its outcome', async () => {
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const sockets: WebSocket[] = [];
		let onRequest: () => void = () => undefined;
		server.on('connection', (peer: WebSocket) => {
			sockets.push(peer);
			peer.on('message', () => {
				onRequest();
			});
		});
		const changes: boolean[] = [];
		let onChange: () => void = () => undefined;
		const nextChange = async () =>
			new Promise<void>((resolve) => {
				onChange = resolve;
			});
		link = createPeerLink({
			budget: createMemoryBudget(350_000_000),
			address: `127.0.0.1:${port}`,
			clock,
			hello: () => [],
			onMessage: () => undefined,
			onMalformed: () => undefined,
			onUnread: () => undefined,
			onLost: () => undefined,
			onChange(isUsable) {
				changes.push(isUsable);
				onChange();
			},
		});
		await nextChange();
		const arrived = new Promise<void>((resolve) => {
			onRequest = resolve;
		});
		const outcome = new Promise<string>((resolve) => {
			link.send({...request, isIdempotent: false}, ({kind}) => {
				resolve(kind);
			});
		});
		await arrived;
		clock.advanceTo(500);
		link.probe();
		clock.advanceTo(1500);
		link.probe();
		await nextChange();
		await nextChange();
		expect(changes).to.deep.equal([true, false, true]);
		expect(sockets).to.have.length(2);
		sockets[0]!.send(
			encodeFrame({
				sentAt: 0,
				messages: [
					{
						kind: 'outcome',
						exchange: 1,
						outcome: {kind: 'declined', status: 503},
						load: undefined,
					},
				],
			}),
		);
		expect(await outcome).to.equal('declined');
		await once(sockets[0]!, 'close');
		expect(link.isUsable()).to.equal(true);
		expect(server.clients.size).to.equal(1);
	});

	// A large answer on a slow link: it was cut after a second, counted as lost, and sent again from the start.
	it('keeps a connection on which a large message is still arriving', async () => {
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const connected = once(server, 'connection') as Promise<
			[WebSocket, IncomingMessage]
		>;
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${port}`,
				clock,
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onChange() {
					resolve();
				},
			});
		});
		const [, {socket}] = await connected;
		const frame = addFrameHeader(
			encodeFrame(
				{
					sentAt: 0,
					messages: [
						{
							kind: 'outcome',
							exchange: 1,
							outcome: {
								kind: 'answered',
								status: 200,
								headers: [],
								body: Buffer.alloc(100_000),
							},
							load: undefined,
						},
					],
				},
				maxHeaderLength,
			),
			false,
		);
		/** Writes a part of the frame; resolves when the link has read it. */
		const write = async (start: number, end: number) => {
			await new Promise<void>((resolve) => {
				socket.write(frame.subarray(start, end), () => {
					resolve();
				});
			});
			for (let turn = 0; turn < 10; turn++) {
				// eslint-disable-next-line no-await-in-loop -- one turn after the other.
				await nextTurn();
			}
		};

		const outcome = new Promise<Outcome>((resolve) => {
			link.send(request, resolve);
		});
		await write(0, 20_000);
		clock.advanceTo(500);
		link.probe();
		await write(20_000, 40_000);
		clock.advanceTo(1500);
		link.probe();
		await write(40_000, 60_000);
		clock.advanceTo(2500);
		link.probe();
		expect(link.isUsable()).to.equal(true);
		await write(60_000, frame.byteLength);
		expect(await outcome).to.include({kind: 'answered'});

		clock.advanceTo(6000);
		link.probe();
		clock.advanceTo(7000);
		link.probe();
		await nextTurn();
		expect(link.isUsable()).to.equal(false);
	});

	// After a stall of this node's process, timers run before what has arrived is read: every link was abandoned and its requests counted as lost, although their answers were there.
	it('reads what has arrived before it abandons a connection', async () => {
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const connected = once(server, 'connection') as Promise<[WebSocket]>;
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${port}`,
				clock,
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onChange() {
					resolve();
				},
			});
		});
		const [peer] = await connected;
		const outcome = new Promise<Outcome>((resolve) => {
			link.send(request, resolve);
		});
		await once(peer, 'message');
		clock.advanceTo(500);
		link.probe();
		await once(peer, 'message');
		const answer = encodeFrame({
			sentAt: 0,
			messages: [
				{
					kind: 'outcome',
					exchange: 1,
					outcome: {kind: 'declined', status: 503},
					load: undefined,
				},
				{kind: 'pong'},
			],
		});
		// In one turn, as if all of it had happened during a stall.
		setTimeout(() => {
			peer.send(answer);
			clock.advanceTo(1500);
			link.probe();
		}, 0);
		expect(await outcome).to.include({kind: 'declined'});
		await nextTurn();
		expect(link.isUsable()).to.equal(true);
	});
});

describe('the link to a node that stops', () => {
	let server: WebSocketServer;
	let link: PeerLink;
	let peer: WebSocket;
	let changes: boolean[];
	let losses: string[];

	beforeEach(async () => {
		server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
		const connected = once(server, 'connection') as Promise<[WebSocket]>;
		const {port} = server.address() as AddressInfo;
		changes = [];
		losses = [];
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${port}`,
				clock: createVirtualClock(),
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost({cause, lost, refused}) {
					losses.push(`${cause} ${lost} ${refused}`);
				},
				onChange(isUsable) {
					changes.push(isUsable);
					resolve();
				},
			});
		});
		[peer] = await connected;
	});

	afterEach(() => {
		link.close();
		server.close();
	});

	/** Sends requests, closes the link after the messages, and returns the outcomes by request. */
	const outcomesAfter = async (messages: PeerMessage[]) => {
		const outcomes: Record<string, unknown> = {};
		const ended = ['a', 'b', 'c'].map(
			async (requestId) =>
				new Promise<void>((resolve) => {
					link.send({...request, requestId, isIdempotent: false}, (outcome) => {
						outcomes[requestId] =
							outcome.kind === 'answered' || outcome.kind === 'declined'
								? outcome.kind
								: outcome.reason;
						resolve();
					});
				}),
		);
		if (messages.length > 0) {
			peer.send(encodeFrame({sentAt: 0, messages}));
		}

		peer.close();
		await Promise.all(ended);
		return outcomes;
	};

	// 502 forbids the caller to repeat a request that isn't idempotent, and the node does not either.
	it('refuses the requests of which the node states that it did not receive them', async () => {
		expect(
			await outcomesAfter([
				{
					kind: 'outcome',
					exchange: 1,
					outcome: {
						kind: 'answered',
						status: 200,
						headers: [],
						body: new Uint8Array(0),
					},
					load: undefined,
				},
				{kind: 'closing', running: [2]},
			]),
		).to.deep.equal({a: 'answered', b: 'linkLost', c: 'nodeStopping'});
		expect(changes).to.deep.equal([true, false]);
		expect(losses).to.deep.equal(['stopped 0 1', 'closed 1 0']);
	});

	it('counts all as lost when the node ends without a statement', async () => {
		expect(await outcomesAfter([])).to.deep.equal({
			a: 'linkLost',
			b: 'linkLost',
			c: 'linkLost',
		});
		expect(losses).to.deep.equal(['closed 3 0']);
	});
});
