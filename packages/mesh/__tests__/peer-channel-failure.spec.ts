import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocket, WebSocketServer} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createPeerChannel} from '../src/links/peer-channel.js';
import {encodeFrame, type PeerMessage} from '../src/links/peer-message.js';

describe('a channel whose handler throws', () => {
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

	// Guards against a link that stays open and reads nothing more, so that requests wait until their deadlines.
	it('passes on the later messages of the frame, and later frames', async () => {
		const options = {
			clock: createSystemClock(),
			budget: createMemoryBudget(350_000_000),
		};
		const received: number[] = [];
		const failures: string[] = [];
		const done = new Promise<void>((resolve) => {
			server.on('connection', (socket, {socket: connection}) => {
				createPeerChannel(socket, connection, options, {
					onOpen: () => undefined,
					onMessage(message) {
						const version = message.kind === 'version' ? message.version : 0;
						if (version === 1) {
							throw new Error('one message');
						}

						received.push(version);
						if (version === 3) {
							resolve();
						}
					},
					onMalformed(detail) {
						failures.push(detail);
					},
					onUnread: () => undefined,
					onClose: () => undefined,
				});
			});
		});
		const {port} = server.address() as AddressInfo;
		client = new WebSocket(`ws://127.0.0.1:${port}`);
		await once(client, 'open');
		const send = (...versions: number[]) => {
			const messages = versions.map((version): PeerMessage => ({
				kind: 'version',
				version,
			}));
			client.send(encodeFrame({sentAt: 0, messages}));
		};

		send(1, 2);
		send(3);
		await done;
		expect(received).to.deep.equal([2, 3]);
		expect(failures).to.have.length(1);
		expect(failures[0]).to.include('version').and.to.include('one message');
	});
});
