import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createKnownMembers} from '../src/members/known-members.js';
import {createMemberGossip} from '../src/members/member-gossip.js';
import type {PeerLink} from '../src/links/peer-link.js';
import type {Member, PeerMessage} from '../src/links/peer-message.js';

const dataCentres = 5;
const linksOfNode = 24;

function createMember(index: number, startedAt = 1): Member {
	return {
		node: `node-${index}`,
		address: `10.0.0.${index}:7620`,
		dataCentre: `dc-${index % dataCentres}`,
		service: 'reads',
		startedAt,
	};
}

function createLink(sendMessage: (message: PeerMessage) => void): PeerLink {
	return {
		send: () => () => undefined,
		isUsable: () => true,
		isSilent: () => false,
		silence: () => 0,
		outstanding: () => 0,
		isUnused: () => true,
		sendMessage(message) {
			sendMessage(message);
			return true;
		},
		retryNow: () => undefined,
		probe: () => false,
		retire: () => undefined,
		close: () => undefined,
	};
}

/** Gossips a new member through a fleet with random links; returns how many nodes received it and how many messages were sent. */
function spreadMember(size: number) {
	const clock = createVirtualClock();
	const random = createRandom(3);
	const members = Array.from({length: size}, (_, index) => createMember(index));
	const joined = createMember(size);
	let sent = 0;
	const nodes = members.map((self) => {
		const known = createKnownMembers(self.node);
		const gossip = createMemberGossip({
			clock,
			random: random.fork(),
			self,
			links: () => links,
		});
		const receive = (received: Member[]) => {
			for (const member of received) {
				if (known.add(member) === 'new') {
					gossip.add(member);
				}
			}
		};

		const links = Array.from({length: linksOfNode}, () => {
			const other = random.below(size);
			return {
				member: members[other]!,
				link: createLink((message) => {
					sent++;
					if (message.kind === 'members') {
						clock.setTimer(5, () => {
							nodes[other]!.receive(message.members);
						});
					}
				}),
			};
		});
		return {known, receive};
	});
	nodes[0]!.receive([joined]);
	clock.advanceTo(2000);
	return {
		receivers: nodes.filter(({known}) => known.get(joined.node)).length,
		sent,
	};
}

describe('gossip of a new member', () => {
	for (const size of [30, 195, 570]) {
		it(`reaches nearly all of ${size} nodes within two seconds, in a few messages each`, () => {
			// If the joining node notified all others itself, each start would cost as
			// many handshakes as there are nodes, and a restart of all nodes their square.
			const {receivers, sent} = spreadMember(size);
			expect(receivers).to.be.at.least(size * 0.95);
			expect(sent).to.be.at.most(size * 6);
		});
	}
});

describe('the known members', () => {
	it('distinguish new from known members, and restarts from moves', () => {
		const known = createKnownMembers('self');
		expect(known.add(createMember(1))).to.equal('new');
		expect(known.add(createMember(1))).to.equal('known');
		expect(known.add(createMember(1, 2))).to.equal('restarted');
		expect(
			known.add({...createMember(1, 3), address: '10.0.0.99:7620'}),
		).to.equal('new');
	});

	it('keep the later start when updates arrive out of order', () => {
		const known = createKnownMembers('self');
		known.add(createMember(1, 2));
		expect(
			known.add({...createMember(1, 1), address: '10.0.0.99:7620'}),
		).to.equal('known');
		expect(known.get('node-1')?.address).to.equal('10.0.0.1:7620');
	});

	it('never include the node itself', () => {
		const known = createKnownMembers('node-1');
		known.add(createMember(1));
		expect(known.size()).to.equal(0);
	});
});
