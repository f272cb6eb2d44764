import {createVersionTracker, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	decodeFrame,
	encodeFrame,
	type PeerMessage,
} from '../src/links/peer-message.js';
import {createUpdateHandler} from '../src/links/peer-updates.js';
import type {RoutingConfiguration} from '../src/configuration/route.js';

describe('updates on a link', () => {
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
			versions: createVersionTracker(clock),
			reporter: {notice: () => undefined},
			onHello: () => undefined,
			onMembers: () => undefined,
			onQuotaUse: () => undefined,
			onQuotaGrant: () => undefined,
			onFairDemand: () => undefined,
			onFairTotals: () => undefined,
			onSuspects: () => undefined,
			onTargetMemory: () => undefined,
		});
		const sent: Array<{from: number; message: PeerMessage}> = [];
		return {
			clock,
			sent,
			receive(from: number, message: PeerMessage) {
				handle(
					message,
					(reply) => {
						sent.push({from, message: reply});
						return true;
					},
					`node-${from}`,
				);
			},
		};
	}

	it('are ignored if their kind is unknown', () => {
		// Guards against a node of this version that fails on messages of a later one during a release.
		const node = createNode();
		const later = {kind: 'later', value: 1} as unknown as PeerMessage;
		const frame = decodeFrame(encodeFrame({sentAt: 0, messages: [later]}));
		node.receive(1, frame._unsafeUnwrap().messages[0]!);
		expect(node.sent).to.deep.equal([]);
	});

	describe('about a newer configuration', () => {
		it('request it from one peer at a time, however many announce it', () => {
			// After a restart every link announces the version in force. Requested from
			// each peer, the configuration would be received fifty times.
			const node = createNode();
			for (let peer = 0; peer < 50; peer++) {
				node.receive(peer, {kind: 'version', version: 3});
			}

			expect(node.sent).to.deep.equal([
				{from: 0, message: {kind: 'configurationWanted'}},
			]);
		});

		it('request it from the next peer when the first one does not answer', () => {
			// The first peer froze just after it announced the version.
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(1, {kind: 'version', version: 3});
			node.clock.advanceTo(1000);
			expect(node.sent.map(({from}) => from)).to.deep.equal([0, 1]);
		});

		it('send no further requests once the configuration has arrived', () => {
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(1, {kind: 'version', version: 3});
			node.receive(0, {
				kind: 'configuration',
				configuration: configurationOf(3),
			});
			node.clock.advanceTo(1000);
			expect(node.sent).to.have.length(1);
		});

		it('request a still newer version', () => {
			const node = createNode();
			node.receive(0, {kind: 'version', version: 3});
			node.receive(0, {
				kind: 'configuration',
				configuration: configurationOf(3),
			});
			node.receive(1, {kind: 'version', version: 4});
			node.clock.advanceTo(1000);
			expect(node.sent.map(({from}) => from)).to.deep.equal([0, 1]);
		});
	});

	it('request no version that is already in force', () => {
		const node = createNode(3);
		node.receive(0, {kind: 'version', version: 3});
		expect(node.sent).to.have.length(0);
	});

	it('return the configuration on request', () => {
		const node = createNode(3);
		node.receive(0, {kind: 'configurationWanted'});
		expect(node.sent).to.deep.equal([
			{
				from: 0,
				message: {kind: 'configuration', configuration: configurationOf(3)},
			},
		]);
	});
});
