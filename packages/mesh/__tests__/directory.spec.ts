import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer} from 'ws';
import {createDirectory, type Directory} from '../src/members/directory.js';
import {idleLoad} from '../src/links/exchange.js';
import {
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

describe('createDirectory', () => {
	let server: WebSocketServer;
	let directory: Directory;
	let life: AbortController;

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
		const clock = createVirtualClock();
		await new Promise<void>((resolve) => {
			directory = createDirectory({
				clock,
				random: createRandom(1),
				ticker: createTicker(clock, life.signal),
				self,
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
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
});
