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
		let refreshes = 0;
		let current = initial > 0 ? configurationOf(initial) : undefined;
		const handle = createUpdateHandler({
			clock,
			follower: {
				current: () => current,
				offer(configuration) {
					current = configuration;
				},
				async refresh() {
					refreshes++;
				},
			},
			versions: createVersionTracker(clock),
			reporter: {
				notice(name, details) {
					if (name === 'configurationNotReceived') {
						notReceived.push(details);
					}
				},
			},
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
		const closedLinks = new Set<number>();
		const notReceived: unknown[] = [];
		return {
			clock,
			sent,
			closedLinks,
			notReceived,
			refreshes: () => refreshes,
			receive(from: number, message: PeerMessage) {
				handle(
					message,
					(reply) => {
						const isOpen = !closedLinks.has(from);
						if (isOpen) {
							sent.push({from, message: reply});
						}

						return isOpen;
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
		const known: PeerMessage = {kind: 'version', version: 1};
		const frame = decodeFrame(
			encodeFrame({sentAt: 0, messages: [later, known]}),
		);
		for (const message of frame._unsafeUnwrap().messages) {
			node.receive(1, message);
		}

		// The message behind it is still handled.
		expect(node.sent).to.deep.equal([
			{from: 1, message: {kind: 'configurationWanted'}},
		]);
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

	describe('after a suspension, with announcements on links that were closed meanwhile', () => {
		it('request the newest version from a node that can still be asked', () => {
			// Guards against waiting for each of the closed links in turn, which kept an old configuration in force for seconds.
			const node = createNode(21);
			for (const version of [24, 26, 30, 32]) {
				for (let peer = 1; peer <= 12; peer++) {
					node.closedLinks.add(peer);
					node.receive(peer, {kind: 'version', version});
				}
			}

			node.receive(13, {kind: 'version', version: 36});
			node.clock.advanceTo(299);
			expect(node.sent).to.deep.equal([
				{from: 13, message: {kind: 'configurationWanted'}},
			]);
		});

		it('read the store if no node can be asked', () => {
			// Guards against an old configuration until the next announcement arrives.
			const node = createNode(21);
			node.closedLinks.add(1);
			node.receive(1, {kind: 'version', version: 24});
			expect(node.refreshes()).to.equal(1);
			expect(node.notReceived).to.deep.equal([
				{version: 24, source: 'node-1', reason: 'linkClosed'},
			]);
		});
	});

	describe('about newer configurations of nodes that do not answer', () => {
		it('request the newest version first', () => {
			// Guards against requests for versions that have been replaced.
			const node = createNode(21);
			node.receive(1, {kind: 'version', version: 24});
			node.receive(2, {kind: 'version', version: 30});
			node.receive(3, {kind: 'version', version: 26});
			node.clock.advanceTo(1000);
			expect(node.sent.map(({from}) => from)).to.deep.equal([1, 2, 3]);
		});

		it('read the store after the first one', () => {
			// Guards against a delay that grows with the number of suspended nodes.
			const node = createNode(21);
			for (let peer = 1; peer <= 6; peer++) {
				node.receive(peer, {kind: 'version', version: 24});
			}

			node.clock.advanceTo(301);
			expect(node.refreshes()).to.equal(1);
			expect(node.notReceived).to.deep.equal([
				{version: 24, source: 'node-1', reason: 'noAnswer'},
			]);
		});

		it('request each announcement of a node once', () => {
			// Guards against a queue that grows with each announcement of a node that is behind.
			const node = createNode(21);
			for (let repeat = 0; repeat < 20; repeat++) {
				node.receive(1, {kind: 'version', version: 24});
				node.receive(2, {kind: 'version', version: 24});
			}

			node.clock.advanceTo(10_000);
			expect(node.sent.map(({from}) => from)).to.deep.equal([1, 2, 1]);
		});
	});

	it('request a version at once when the one asked for came from elsewhere', () => {
		// Guards against waiting for a suspended node whose version is already in force.
		const node = createNode(21);
		node.receive(1, {kind: 'version', version: 24});
		node.receive(2, {
			kind: 'configuration',
			configuration: configurationOf(24),
		});
		node.receive(3, {kind: 'version', version: 26});
		expect(node.sent.map(({from}) => from)).to.deep.equal([1, 3]);
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
