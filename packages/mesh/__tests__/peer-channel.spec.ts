import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocket, WebSocketServer} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {
	createPeerChannel,
	type PeerChannel,
} from '../src/links/peer-channel.js';
import type {PeerMessage} from '../src/links/peer-message.js';

describe('the frames of a channel', () => {
	// The headers are written here and read by `ws`. A wrong length at one of the
	// bounds of the length field would close the link on each response of that
	// size, and every request pending on it would count as lost.
	let server: WebSocketServer;
	let client: WebSocket;

	beforeEach(async () => {
		server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
	});

	afterEach(() => {
		client.terminate();
		server.close();
	});

	const ignored = {
		onOpen: () => undefined,
		onMessage: () => undefined,
		onMalformed(detail: string) {
			throw new Error(detail);
		},
		onUnread: () => undefined,
		onClose: () => undefined,
	};

	it('arrive whole at all lengths of the length field, in both directions', async () => {
		const options = {
			clock: createSystemClock(),
			budget: createMemoryBudget(350_000_000),
		};
		const accepted = new Promise<PeerChannel>((resolve) => {
			server.on('connection', (socket, {socket: connection}) => {
				const channel: PeerChannel = createPeerChannel(
					socket,
					connection,
					options,
					{
						...ignored,
						onMessage(message) {
							channel.send(message);
						},
					},
				);
				resolve(channel);
			});
		});
		const {port} = server.address() as AddressInfo;
		client = new WebSocket(`ws://127.0.0.1:${port}`);
		const returned: PeerMessage[] = [];
		const listener = {onReturned: () => undefined as void};
		const channel = createPeerChannel(client, undefined, options, {
			...ignored,
			onMessage(message) {
				returned.push(message);
				listener.onReturned();
			},
		});
		await once(client, 'open');
		await accepted;
		const sizes = [0, 65_535, 65_536, 300_000];
		for (let size = 1; size <= 130; size++) {
			sizes.push(size, 65_400 + size);
		}

		for (const size of sizes) {
			const sent: PeerMessage = {
				kind: 'outcome',
				exchange: size,
				load: undefined,
				outcome: {
					kind: 'answered',
					status: 200,
					headers: [],
					body: Buffer.alloc(size, 7),
				},
			};
			// eslint-disable-next-line no-await-in-loop -- one frame at a time.
			await new Promise<void>((resolve) => {
				listener.onReturned = resolve;
				channel.send(sent);
			});
			expect(returned.pop()).to.deep.equal(sent);
		}
	});
});
