import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer, type WebSocket} from 'ws';
import {createPeerLink, type PeerLink} from '../src/peer-link.js';
import {encodeFrame} from '../src/peer-message.js';

describe('the link to a node that says nothing any more', () => {
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

	it('is doubted a moment after a probe, and trusted again with the next message', async () => {
		// A data centre is cut off. Nothing is reset, so the links into it look
		// alive, and for as long as they are given to answer, every third call is
		// sent into nowhere and lost, with other targets beside.
		const clock = createVirtualClock();
		const {port} = server.address() as AddressInfo;
		const connected = once(server, 'connection') as Promise<[WebSocket]>;
		let onHeard: () => void = () => undefined;
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				address: `127.0.0.1:${port}`,
				clock,
				hello: () => [],
				onMessage() {
					onHeard();
				},
				onMalformed: () => undefined,
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

		const heard = new Promise<void>((resolve) => {
			onHeard = resolve;
		});
		peer.send(
			encodeFrame({sentAt: 0, messages: [{kind: 'version', version: 1}]}),
		);
		await heard;
		expect(link.isSilent()).to.equal(false);
	});
});
