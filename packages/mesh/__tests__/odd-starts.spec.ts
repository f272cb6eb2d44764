import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createDirectory, type Directory} from '../src/members/directory.js';
import type {Member} from '../src/links/peer-message.js';
import {createTicker} from '../src/timing/ticker.js';

const self: Member = {
	node: 'self',
	address: '127.0.0.1:1',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 1,
};
const hour = 3_600_000;

describe('a member with a start in the future', () => {
	const clock = createVirtualClock();
	const now = clock.date().getTime();
	const live: Member = {
		...self,
		node: 'node-1',
		address: '127.0.0.1:2',
		startedAt: now,
	};
	const forged: Member = {
		...live,
		address: '127.0.0.1:3',
		startedAt: now + 2 * hour,
	};
	let life: AbortController;
	let directory: Directory;
	let reports: string[];

	beforeEach(() => {
		life = new AbortController();
		reports = [];
		directory = createDirectory({
			clock,
			budget: createMemoryBudget(350_000_000),
			random: createRandom(1),
			ticker: createTicker(clock, life.signal),
			self,
			hello: () => [],
			onMessage: () => undefined,
			onMalformed(detail) {
				reports.push(detail);
			},
			onUnread: () => undefined,
			onLost: () => undefined,
			onState: () => undefined,
			onProfiles: () => undefined,
			onPeer: () => undefined,
			pinned: () => [],
		});
		directory.addMembers([live], 'store');
	});

	afterEach(() => {
		life.abort();
		directory.close();
	});

	// Guards against a live node that is displaced by what a peer passes on; no later start of it would ever be newer.
	it('displaces no live node by gossip', () => {
		directory.addMembers([forged], 'peer');
		expect(directory.members()).to.deep.equal([live]);
		const restarted = {...live, startedAt: now + 1000};
		directory.addMembers([restarted], 'peer');
		expect(directory.members()).to.deep.equal([restarted]);
		// A hello comes from a live node, whose clock may be ahead: its start counts as the present.
		expect(reports).to.have.length(1);
	});
});
