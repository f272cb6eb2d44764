import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createPeerLinks} from '../src/links/peer-links.js';
import type {Member} from '../src/links/peer-message.js';

const member: Member = {
	node: 'odd',
	address: '127.0.0.1:99999',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 1,
};

describe('a link to an address that cannot be connected to', () => {
	// `new WebSocket` threw in the loop that had read the member, and the loop ended.
	it('is a failed attempt that is tried again, and other links open', async () => {
		const clock = createVirtualClock();
		const malformed: string[] = [];
		const up: string[] = [];
		let onUp: () => void = () => undefined;
		const links = createPeerLinks({
			clock,
			random: createRandom(1),
			budget: createMemoryBudget(1e8),
			hello: () => [],
			onMessage: () => undefined,
			onMalformed(detail) {
				malformed.push(detail);
			},
			onUnread: () => undefined,
			onPeer(node, change) {
				up.push(`${node} ${change}`);
				onUp();
			},
			onLost: () => undefined,
		});
		const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		links.open(member);
		const opened = new Promise<void>((resolve) => {
			onUp = resolve;
		});
		links.open({...member, node: 'live', address: `127.0.0.1:${port}`});
		await opened;
		expect(up).to.deep.equal(['live up']);
		const attempts = clock.pending();
		await clock.runTo(10_000);
		expect(clock.pending()).to.equal(attempts);
		expect(malformed).to.have.length(1);
		expect(malformed[0]).to.include('127.0.0.1:99999');
		links.close();
		server.close();
	});
});
