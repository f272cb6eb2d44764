import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {idleLoad} from '../src/links/exchange.js';
import {createKnownMembers} from '../src/members/known-members.js';
import {createPeer, type Peer} from '../src/links/peer.js';
import type {PeerLink} from '../src/links/peer-link.js';
import type {Member} from '../src/links/peer-message.js';
import {createDesiredLinks} from '../src/members/desired-links.js';

const members = Array.from({length: 40}, (_, index): Member => ({
	node: `node-${index}`,
	address: `10.0.0.${index}:7620`,
	dataCentre: index % 2 === 0 ? 'near' : 'far',
	service: 'reads',
	startedAt: 1,
}));

function createLink(isUsable: () => boolean): PeerLink {
	return {
		send: () => () => undefined,
		isUsable,
		isSilent: () => false,
		silence: () => 0,
		outstanding: () => 0,
		isUnused: () => true,
		sendMessage: () => true,
		retryNow: () => undefined,
		probe: () => false,
		retire: () => undefined,
		close: () => undefined,
	};
}

/** Creates a node that opens all desired links, at intervals of half a second. */
function createNode() {
	const clock = createVirtualClock();
	const known = createKnownMembers('self');
	const peers = new Map<string, Peer>();
	const down = new Set<string>();
	const pinned: string[] = [];
	const desired = createDesiredLinks({
		clock,
		self: {node: 'self', dataCentre: 'near'},
		known,
		peers,
		pinned: () => pinned,
	});
	for (const member of members) {
		known.add(member);
	}

	const link = (member: Member) => {
		const peer = createPeer(
			member,
			createLink(() => !down.has(member.node)),
			clock.now(),
		);
		peer.downSince = undefined;
		peer.load = {...idleLoad, occupancy: 0.2};
		peer.state = {
			kind: 'state',
			isStopping: false,
			isFollowing: false,
			service: member.service,
			routes: [],
			load: idleLoad,
			target: {
				service: member.service,
				targetId: `target-${member.node}`,
				startedAt: 1,
				sequence: 1,
				isLeaving: false,
				isReachable: true,
				slots: 10,
			},
		};
		peers.set(member.node, peer);
	};

	return {
		desired,
		peers,
		down,
		run(periods: number) {
			let names = new Set<string>();
			for (let period = 0; period < periods; period++) {
				clock.advanceTo(clock.now() + 500);
				for (const [name, peer] of peers) {
					peer.downSince = down.has(name)
						? (peer.downSince ?? clock.now())
						: undefined;
				}

				names = desired.choose();
				for (const name of names) {
					if (!peers.has(name)) {
						link(members.find(({node}) => node === name)!);
					}
				}
			}

			return names;
		},
	};
}

describe('the desired links of a node', () => {
	it('grow in number once callers request the service', () => {
		const node = createNode();
		const before = node.run(10).size;
		expect(node.desired.recordRequest('reads')).to.equal(true);
		expect(node.run(10).size).to.be.above(before);
	});

	it('grow in number while all linked targets are full', () => {
		// A few targets become slow, and by chance a node's subset holds only these:
		// its callers would wait while other targets of the data centre have room.
		const node = createNode();
		node.desired.recordRequest('reads');
		const before = node.run(10).size;
		for (const peer of node.peers.values()) {
			peer.load = {...idleLoad, occupancy: 1.2};
		}

		expect(node.run(2).size).to.be.above(before);
	});

	it('replace unreachable members, which are not retried forever', () => {
		// Machines are replaced over the months and their rows remain; eventually a
		// node would try only machines that no longer exist.
		const node = createNode();
		node.desired.recordRequest('reads');
		const first = node.run(10);
		for (const name of first) {
			node.down.add(name);
		}

		const later = node.run(20);
		const working = [...later].filter((name) => !node.down.has(name));
		expect(working.length).to.be.at.least(first.size);
		expect([...later].filter((name) => node.down.has(name))).to.have.length(0);
	});
});
