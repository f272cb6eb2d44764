import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {Member} from '../src/links/peer-message.js';
import {createMemberRegister} from '../src/members/member-register.js';
import {createOwnEntry} from '../src/members/own-entry.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';

const now = Date.UTC(2026, 0, 1);
const member: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: now,
};
const forged: Member = {
	...member,
	address: '10.0.0.9:7620',
	startedAt: now + 60_000,
};

describe('the entry of this node', () => {
	const create = () => {
		const clock = createVirtualClock();
		const self = {...member};
		const published: number[] = [];
		const entry = createOwnEntry({
			clock,
			self,
			publish() {
				published.push(self.startedAt);
			},
		});
		return {clock, self, published, entry};
	};

	it('gets a later start than an entry that displaces it', () => {
		const {entry, published} = create();
		entry.compare(forged);
		expect(published).to.deep.equal([forged.startedAt + 1]);
	});

	it('is not changed by earlier starts, by its own place or by starts ahead of all clocks', () => {
		const {entry, published} = create();
		entry.compare({...forged, startedAt: now - 1});
		entry.compare({...member, startedAt: now + 1});
		entry.compare({...forged, startedAt: now + 7_200_000});
		expect(published).to.deep.equal([]);
	});

	it('is claimed once in 5 s, also if another node claims it as often as it can', () => {
		const {clock, entry, published, self} = create();
		for (let time = 0; time < 20_000; time += 100) {
			clock.advanceTo(time);
			entry.compare({...forged, startedAt: self.startedAt + 1});
		}

		expect(published.length).to.be.within(3, 5);
	});
});

describe('the row of this node', () => {
	// The row of another writer stayed, and nodes that started later did not know the live one.
	const overwritten: Record<string, string> = {
		'with another place': JSON.stringify({member: forged}),
		'with what is no row': '{',
		'with the name of another node': JSON.stringify({
			member: {...member, node: 'node-2'},
		}),
	};
	for (const [title, value] of Object.entries(overwritten)) {
		it(`is written again after another writer has overwritten it ${title}`, async () => {
			const clock = createVirtualClock();
			const store = createRowStoreStandIn();
			const self = {...member};
			const lifetime = new AbortController();
			const register = createMemberRegister({
				store,
				self,
				clock,
				random: createRandom(1),
				reporter: {notice: () => undefined, decision: () => undefined},
				onMembers(members) {
					for (const read of members) {
						entry.compare(read);
					}
				},
				onEarlierLeaving: () => undefined,
			});
			const entry = createOwnEntry({
				clock,
				self,
				publish() {
					register.rewrite();
				},
			});
			const running = register.run(lifetime.signal);
			await clock.runTo(1000);
			const row = store.rows.get('node-1')!;
			await store.write({...row, value}, row.version);
			await clock.runTo(100_000);
			const stored = JSON.parse(store.rows.get('node-1')!.value) as {
				member: Member;
			};
			expect(stored.member).to.deep.equal(self);
			expect(store.calls.write).to.be.within(3, 4);
			lifetime.abort();
			await clock.runTo(300_000);
			await running;
		});
	}
});
