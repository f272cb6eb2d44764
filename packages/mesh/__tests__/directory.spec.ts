import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createRandom,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer, type WebSocket} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createDirectory, type Directory} from '../src/members/directory.js';
import {
	idleLoad,
	type ForwardedRequest,
	type Outcome,
} from '../src/links/exchange.js';
import {
	decodeFrame,
	encodeFrame,
	type Member,
	type PeerMessage,
	type StateMessage,
} from '../src/links/peer-message.js';
import {createTicker} from '../src/timing/ticker.js';

const self: Member = {
	node: 'self',
	address: '127.0.0.1:1',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 1,
};

const request: ForwardedRequest = {
	requestId: 'id',
	method: 'POST',
	path: '/x',
	headers: [],
	body: undefined,
	route: 'pay',
	service: 'reads',
	isIdempotent: false,
	isInner: false,
	isNearCompletion: false,
	repeatShare: 0,
	crashes: 0,
	priority: 0,
	maxWait: 0,
	timeLeft: 5000,
};

describe('createDirectory', () => {
	let server: WebSocketServer;
	let directory: Directory;
	let life: AbortController;
	let clock: VirtualClock;

	beforeEach(async () => {
		server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
		life = new AbortController();
	});

	afterEach(() => {
		life.abort();
		directory.close();
		server.close();
	});

	const memberAtServer = (node: string, startedAt: number): Member => ({
		...self,
		node,
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		startedAt,
	});

	const answerWith = (messages: PeerMessage[]) => {
		server.on('connection', (socket) => {
			socket.send(encodeFrame({sentAt: 0, messages}));
		});
	};

	const stateOf = (service: string): StateMessage => ({
		kind: 'state',
		isStopping: false,
		isFollowing: false,
		service,
		routes: [],
		load: idleLoad,
		target: {
			service,
			targetId: 'target-1',
			startedAt: 1,
			sequence: 1,
			isLeaving: false,
			isReachable: true,
			slots: 10,
		},
	});

	/** Creates a directory; resolves when it has received the state of a node. */
	const open = async (members: Member[]) => {
		clock = createVirtualClock();
		await new Promise<void>((resolve) => {
			directory = createDirectory({
				clock,
				budget: createMemoryBudget(350_000_000),
				random: createRandom(1),
				ticker: createTicker(clock, life.signal),
				self,
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onState() {
					resolve();
				},
				onProfiles: () => undefined,
				onPeer: () => undefined,
				pinned: () => [],
			});
			directory.addMembers(members, 'store');
		});
	};

	it('lists the target of an added member as a candidate', async () => {
		const member = memberAtServer('node-1', 1);
		answerWith([
			{kind: 'hello', member, configurationVersion: 0},
			stateOf('reads'),
		]);
		await open([member]);
		const found = directory.candidates('reads', []);
		expect(found.map(({node}) => node)).to.deep.equal(['node-1']);
		expect(directory.candidates('writes', [])).to.have.length(0);
	});

	it('replaces a member when another node answers at its address', async () => {
		// A VM was replaced and its address assigned to another one, but its row still
		// exists. With both names, the new node would be listed twice, and a request
		// that it refused would be sent to it again.
		const gone = memberAtServer('node-gone', 1);
		const found = memberAtServer('node-found', 2);
		answerWith([
			{kind: 'hello', member: found, configurationVersion: 0},
			stateOf('reads'),
		]);
		await open([gone]);
		expect(
			directory.candidates('reads', []).map(({node}) => node),
		).to.deep.equal(['node-found']);
		expect(directory.size()).to.equal(2);
	});

	it('counts no follower of the feed that has been silent for over a second', async () => {
		// Guards against relying on a suspended node for changes of the configuration.
		const member = memberAtServer('node-1', 1);
		answerWith([
			{kind: 'hello', member, configurationVersion: 0},
			{...stateOf('reads'), isFollowing: true},
		]);
		await open([member]);
		const isFollowing = () => directory.feedPeers()[0]?.isFollowing;
		clock.advanceTo(900);
		expect(isFollowing()).to.equal(true);
		clock.advanceTo(1001);
		expect(isFollowing()).to.equal(false);
	});

	describe('when a member has moved while a request runs there', () => {
		let outcome: Promise<Outcome>;
		let socket: WebSocket;
		let exchange: number;
		let move: () => void;

		beforeEach(async () => {
			const member = memberAtServer('node-1', 1);
			answerWith([
				{kind: 'hello', member, configurationVersion: 0},
				stateOf('reads'),
			]);
			const connected = once(server, 'connection') as Promise<[WebSocket]>;
			await open([member]);
			[socket] = await connected;
			const arrived = new Promise<number>((resolve) => {
				socket.on('message', (data: Uint8Array) => {
					for (const message of decodeFrame(data)._unsafeUnwrap().messages) {
						if (message.kind === 'request') {
							resolve(message.exchange);
						}
					}
				});
			});
			outcome = new Promise((resolve) => {
				directory.candidates('reads', [])[0]!.channel.send(request, resolve);
			});
			exchange = await arrived;
			move = () => {
				directory.addMembers(
					[{...member, address: '127.0.0.1:1', startedAt: 2}],
					'store',
				);
			};
		});

		// Its new start was known while the old process still completed its work: the link was closed, and the request counted as lost.
		it('the old link stays open until the request has its outcome', async () => {
			move();
			expect(directory.candidates('reads', [])).to.have.length(0);
			socket.send(
				encodeFrame({
					sentAt: 0,
					messages: [
						{
							kind: 'outcome',
							exchange,
							outcome: {
								kind: 'answered',
								status: 200,
								headers: [],
								body: new Uint8Array(0),
							},
							load: undefined,
						},
					],
				}),
			);
			expect(await outcome).to.include({kind: 'answered'});
			await once(socket, 'close');
		});

		// Its VM is gone without a reset: a request that may be repeated must not wait for its deadline.
		it('the old link is still probed', async () => {
			let repeatable: Outcome | undefined;
			directory
				.candidates('reads', [])[0]!
				.channel.send({...request, isIdempotent: true}, (received) => {
					repeatable = received;
				});
			move();
			for (let time = 200; time <= 3000; time += 200) {
				clock.advanceTo(time);
				// eslint-disable-next-line no-await-in-loop -- one check after the other.
				await nextTurn();
			}

			expect(repeatable).to.deep.equal({kind: 'lost', reason: 'linkLost'});
		});

		it('a request on the old link still counts as lost when that ends', async () => {
			move();
			socket.terminate();
			expect(await outcome).to.deep.equal({kind: 'lost', reason: 'linkLost'});
		});
	});
});
