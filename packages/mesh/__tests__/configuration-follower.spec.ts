import {
	createRandom,
	createVersionTracker,
	createVirtualClock,
	sleep,
} from '@egretspoke/shared';
import {expect} from 'chai';
import {err, ok} from 'neverthrow';
import {createConfigurationFollower} from '../src/configuration/configuration-follower.js';
import type {RoutingConfiguration} from '../src/configuration/route.js';
import {createTicker} from '../src/timing/ticker.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';

const row = {table: 'settings', key: 'newest'};
const startDelay = 200;

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

async function createNode(isFollower: () => boolean) {
	const clock = createVirtualClock();
	const store = createRowStoreStandIn(async (wait) => sleep(clock, wait));
	await store.write({...row, value: '1'}, 0);
	const lifetime = new AbortController();
	const applied: number[] = [];
	const followingChanges: boolean[] = [];
	const versions = createVersionTracker(clock);
	const refused: unknown[] = [];
	const follower = createConfigurationFollower({
		store,
		row,
		decode: (value) =>
			value.startsWith('invalid')
				? err({version: Number(value.slice(8)), detail: value})
				: ok(configurationOf(Number(value))),
		clock,
		random: createRandom(1),
		startDelay,
		ticker: createTicker(clock, lifetime.signal),
		versions,
		isFollower,
		isFirstFollower: () => true,
		onFollowingChange() {
			followingChanges.push(follower.isFollowing());
		},
		reporter: {
			notice(name, details) {
				if (name === 'configurationRefused') {
					refused.push(details);
				}
			},
			decision: () => undefined,
		},
		onApplied({version}) {
			applied.push(version);
		},
	});
	const running = follower.run(lifetime.signal);
	return {
		clock,
		store,
		follower,
		applied,
		versions,
		refused,
		followingChanges,
		async end() {
			lifetime.abort();
			await clock.runTo(clock.now() + 60_000);
			await running;
		},
	};
}

describe('the configuration follower', () => {
	it('reads the configuration, follows its changes and reports that it does', async () => {
		const node = await createNode(() => true);
		await node.clock.runTo(1000);
		await node.store.write({...row, value: '2'}, 1);
		await node.clock.runTo(15_000);
		expect(node.applied).to.deep.equal([1, 2]);
		expect(node.followingChanges).to.deep.equal([true]);
		await node.end();
	});

	describe('with enough peers that follow the feed', () => {
		it('never calls the store and applies configurations of peers', async () => {
			const node = await createNode(() => false);
			node.follower.offer(configurationOf(1), 'node-2');
			await node.clock.runTo(60_000);
			const {read, changes} = node.store.calls;
			expect({read, changes}).to.deep.equal({read: 0, changes: 0});
			expect(node.applied).to.deep.equal([1]);
			await node.end();
		});

		it('follows the store itself once they are lost', async () => {
			// Guards against a stale configuration: the followers that a node relies
			// on are killed at the same moment, and no peer reports changes to it.
			let isFollower = false;
			const node = await createNode(() => isFollower);
			node.follower.offer(configurationOf(0), 'node-2');
			await node.clock.runTo(5000);
			isFollower = true;
			await node.clock.runTo(7000);
			expect(node.applied).to.deep.equal([0, 1]);
			await node.end();
		});
	});

	it('keeps the last valid version and takes the next one if one cannot be decoded', async () => {
		// Guards against a node that is stuck, or silent about it, after an invalid version.
		const node = await createNode(() => true);
		await node.clock.runTo(1000);
		await node.store.write({...row, value: 'invalid 2'}, 1);
		await node.clock.runTo(4000);
		await node.follower.refresh();
		expect(node.follower.current()?.version).to.equal(1);
		expect(node.versions.readings().newestReported).to.equal(2);
		expect(node.refused).to.deep.equal([{version: 2, detail: 'invalid 2'}]);
		await node.store.write({...row, value: '3'}, 2);
		await node.clock.runTo(8000);
		expect(node.applied).to.deep.equal([1, 3]);
		await node.end();
	});

	it('reads the store once when a reported version was not received', async () => {
		// Guards against one read for each node that does not answer.
		const node = await createNode(() => false);
		node.follower.offer(configurationOf(0), 'node-2');
		await Promise.all([node.follower.refresh(), node.follower.refresh()]);
		expect(node.applied).to.deep.equal([0, 1]);
		expect(node.store.calls.read).to.equal(1);
		await node.end();
	});

	it('waits for a configuration from peers after a start', async () => {
		const node = await createNode(() => true);
		await node.clock.runTo(startDelay / 2);
		expect(node.store.calls.read).to.equal(0);
		await node.end();
	});

	it('never applies an older version', async () => {
		const node = await createNode(() => false);
		node.follower.offer(configurationOf(5), 'node-2');
		node.follower.offer(configurationOf(4), 'node-2');
		expect(node.follower.current()?.version).to.equal(5);
		await node.end();
	});
});
