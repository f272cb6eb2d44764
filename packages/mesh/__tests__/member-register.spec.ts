import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemberRegister} from '../src/members/member-register.js';
import type {Member} from '../src/links/peer-message.js';
import type {TargetRecord} from '../src/target/target-record.js';
import {
	createRowStoreStandIn,
	type RowStoreStandIn,
} from './row-store-stand-in.js';

const self: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 100,
};
const leaving: TargetRecord = {
	targetId: 'target-1',
	startedAt: 50,
	sequence: 7,
	service: 'reads',
	address: '10.0.0.1:8080',
	slots: 10,
	isLeaving: true,
	warmUpLeft: 0,
	hasLeft: false,
};

/** Starts a node's register and lets it write and read once. */
async function start(
	store: RowStoreStandIn,
	member: Member,
	clock = createVirtualClock(),
) {
	const received: {members: Member[]; leavings: TargetRecord[]} = {
		members: [],
		leavings: [],
	};
	const register = createMemberRegister({
		store,
		self: member,
		clock,
		random: createRandom(1),
		reporter: {notice: () => undefined, decision: () => undefined},
		onMembers(members) {
			received.members = members;
		},
		onEarlierLeaving(record) {
			received.leavings.push(record);
		},
	});
	const lifetime = new AbortController();
	const running = register.run(lifetime.signal);
	await clock.runTo(1000);
	return {
		register,
		received,
		clock,
		async end() {
			lifetime.abort();
			await clock.runTo(200_000);
			await running;
		},
	};
}

/** A start of the node that has ended. */
async function startAndEnd(store: RowStoreStandIn) {
	const node = await start(store, self);
	await node.end();
}

describe('the member register', () => {
	// Guards against a node whose row is never written again because one write threw.
	it('persists a leaving after a write that threw', async () => {
		const store = createRowStoreStandIn();
		const node = await start(store, self);
		const {write} = store;
		store.write = async () => {
			store.write = write;
			throw new Error('one write');
		};

		const persisted = node.register.persistLeaving(leaving);
		await node.clock.runTo(3000);
		await persisted;
		expect(store.calls.write).to.equal(2);
		await node.end();
	});

	it('writes its row and reads the others at the first start', async () => {
		const store = createRowStoreStandIn();
		const node = await start(store, self);
		expect(node.received.members).to.deep.equal([self]);
		expect(store.calls).to.deep.equal({read: 1, changes: 0, write: 1});
		await node.end();
	});

	describe('when a node restarts', () => {
		it('leaves the row unchanged if its address is the same', async () => {
			// Guards against needless writes in a rolling restart: the rows hold the
			// same values as before, and each call of the store is billed.
			const store = createRowStoreStandIn();
			await startAndEnd(store);
			const before = {...store.calls};
			const node = await start(store, {...self, startedAt: 200});
			expect(store.calls.write - before.write).to.equal(1);
			expect(store.rows.get(self.node)?.version).to.equal(1);
			await node.end();
		});

		it('writes its row after a move', async () => {
			const store = createRowStoreStandIn();
			await startAndEnd(store);
			const moved = {...self, address: '10.0.0.9:7620', startedAt: 200};
			const node = await start(store, moved);
			expect(node.received.members).to.deep.equal([moved]);
			await node.end();
		});

		it('restores the leaving target that it acknowledged before', async () => {
			// The node is killed right after it acknowledged that its target leaves.
			const store = createRowStoreStandIn();
			const first = await start(store, self);
			await first.register.persistLeaving(leaving);
			await first.end();
			const node = await start(store, {...self, startedAt: 200});
			expect(node.received.leavings).to.deep.equal([leaving]);
			await node.end();
		});

		// A leaving that was acknowledged in an outage of the store was written once and never again; after a kill, requests reached a target that had left.
		it('restores a leaving that was acknowledged while the store was down', async () => {
			const store = createRowStoreStandIn();
			const clock = createVirtualClock();
			const first = await start(store, self, clock);
			store.isDown = true;
			void first.register.persistLeaving(leaving);
			await clock.runTo(60_000);
			expect(store.rows.get(self.node)?.value).not.to.include('target-1');
			store.isDown = false;
			await clock.runTo(63_000);
			expect(store.rows.get(self.node)?.value).to.include('target-1');
			await first.end();
			const node = await start(store, {...self, startedAt: 200});
			expect(node.received.leavings).to.deep.equal([leaving]);
			await node.end();
		});

		it('still acknowledges in time while the store is down', async () => {
			const store = createRowStoreStandIn();
			const clock = createVirtualClock();
			const node = await start(store, self, clock);
			store.isDown = true;
			let isAcknowledged = false;
			void (async () => {
				await node.register.persistLeaving(leaving);
				isAcknowledged = true;
			})();

			await clock.runTo(clock.now() + 600);
			expect(isAcknowledged).to.equal(true);
			await node.end();
		});

		it('still persists the next leaving target', async () => {
			// Guards against losing the record of the leaving target: the row was not written
			// at the start, and a write with the version of an earlier start would be rejected.
			const store = createRowStoreStandIn();
			await startAndEnd(store);
			const node = await start(store, {...self, startedAt: 200});
			await node.register.persistLeaving(leaving);
			expect(store.rows.get(self.node)?.value).to.include('target-1');
			await node.end();
		});
	});
});
