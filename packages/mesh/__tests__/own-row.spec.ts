import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {createMemberRegister} from '../src/members/member-register.js';
import type {Member} from '../src/links/peer-message.js';
import {
	createRowStoreStandIn,
	type RowStoreStandIn,
} from './row-store-stand-in.js';

const table = 'members';
const self: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 100,
};
const other: Member = {...self, node: 'node-2', address: '10.0.0.2:7620'};

const written = JSON.stringify({member: self});

/** Runs a register for five minutes; `change` is called after the first one. */
async function run(
	store: RowStoreStandIn,
	change: () => Promise<unknown> = async () => undefined,
) {
	const clock = createVirtualClock();
	const lifetime = new AbortController();
	let members: string[] = [];
	const register = createMemberRegister({
		store,
		self,
		clock,
		random: createRandom(1),
		reporter: {notice: () => undefined, decision: () => undefined},
		onMembers(read) {
			members = read.map(({node}) => node);
		},
		onEarlierLeaving: () => undefined,
	});
	const running = register.run(lifetime.signal);
	await clock.runTo(60_000);
	await change();
	await clock.runTo(300_000);
	lifetime.abort();
	await clock.runTo(600_000);
	await running;
	return {members, ownRow: store.rows.get(self.node)};
}

describe("a node's own row", () => {
	// Guards against a node that is ready and has no peers, because the store never takes its row.
	it('keeps the node from no other member if the store refuses it', async () => {
		const store = createRowStoreStandIn();
		await store.write(
			{table, key: other.node, value: JSON.stringify({member: other})},
			0,
		);
		store.write = async () => err({kind: 'unknown', detail: 'answered 400'});
		const {members} = await run(store);
		expect(members).to.deep.equal([other.node]);
	});

	// Guards against a live node that no later one finds, because another writer has replaced its row.
	it('is written again after another writer has replaced it', async () => {
		const odd: Record<string, string> = {
			'no JSON': '{',
			'another address': JSON.stringify({
				member: {...self, address: '10.0.0.9:99999'},
			}),
			'another valid address': JSON.stringify({
				member: {...self, address: '10.0.0.9:7620'},
			}),
		};
		for (const [title, value] of Object.entries(odd)) {
			const store = createRowStoreStandIn();
			// eslint-disable-next-line no-await-in-loop -- one case after another.
			const {ownRow} = await run(store, async () =>
				store.write(
					{table, key: self.node, value},
					store.rows.get(self.node)!.version,
				),
			);
			expect(ownRow?.value, title).to.equal(written);
		}
	});

	// Guards against the same after the store has lost the row.
	it('is written again after it was removed', async () => {
		const store = createRowStoreStandIn();
		const {ownRow} = await run(store, async () => {
			store.rows.clear();
		});
		expect(ownRow?.value).to.equal(written);
	});
});
