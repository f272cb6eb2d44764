import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {PeerMessage} from '../src/peer-message.js';
import {createUpdateHandler} from '../src/peer-updates.js';
import type {RoutingConfiguration} from '../src/route.js';

describe('news on a link', () => {
	const configurationOf = (version: number): RoutingConfiguration => ({
		version,
		routes: [],
		limits: {
			headerBytes: 1000,
			bodyBytes: 1000,
			headerTime: 1000,
			idleTime: 1000,
		},
	});

	function createNode(initial = 0) {
		const clock = createVirtualClock();
		let current = initial > 0 ? configurationOf(initial) : undefined;
		const handle = createUpdateHandler({
			clock,
			follower: {
				current: () => current,
				offer(configuration) {
					current = configuration;
				},
			},
			onHello: () => undefined,
			onMembers: () => undefined,
			onQuotaUse: () => undefined,
			onQuotaGrant: () => undefined,
			onSuspects: () => undefined,
		});
		const told: Array<{from: number; message: PeerMessage}> = [];
		return {
			clock,
			told,
			receive(from: number, message: PeerMessage) {
				handle(message, (reply) => {
					told.push({from, message: reply});
				});
			},
		};
	}

	describe('of a configuration that is newer', () => {
		it('asks one peer at a time, however many tell of it', () => {
			// After a restart every link begins with the version in force. Asked of
			// each of them, the body would come fifty times.
			const node = createNode();
			for (let peer = 0; peer < 50; peer++) {
				node.receive(peer, {kind: 'version', version: 3});
			}

			expect(node.told).to.deep.equal([
				{from: 0, message: {kind: 'configurationWanted'}},
			]);
		});

		it('asks the next peer when the first one does not answer', () => {
			// The first peer froze just after it had told of the version.
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(1, {kind: 'version', version: 3});
			node.clock.advanceTo(1000);
			expect(node.told.map(({from}) => from)).to.deep.equal([0, 1]);
		});

		it('asks nobody else once the configuration has come', () => {
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(1, {kind: 'version', version: 3});
			node.receive(0, {
				kind: 'configuration',
				configuration: configurationOf(3),
			});
			node.clock.advanceTo(1000);
			expect(node.told).to.have.length(1);
		});

		it('asks again for a version that is newer still', () => {
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(0, {
				kind: 'configuration',
				configuration: configurationOf(3),
			});
			node.receive(1, {kind: 'version', version: 4});
			node.clock.advanceTo(1000);
			expect(node.told.map(({from}) => from)).to.deep.equal([0, 1]);
		});
	});

	it('does not ask for a version that is known', () => {
		const node = createNode(3);
		node.receive(0, {kind: 'version', version: 3});
		expect(node.told).to.have.length(0);
	});

	it('answers who asks', () => {
		const node = createNode(3);
		node.receive(0, {kind: 'configurationWanted'});
		expect(node.told).to.deep.equal([
			{
				from: 0,
				message: {kind: 'configuration', configuration: configurationOf(3)},
			},
		]);
	});
});
