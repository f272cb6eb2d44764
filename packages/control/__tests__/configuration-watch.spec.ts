import {
	createRandom,
	createVirtualClock,
	sleep,
	type Clock,
} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import fastCheck from 'fast-check';
import {
	acceptanceRules,
	createConfigurationWatch,
	headKey,
	versionKey,
	writeConfiguration,
	type AcceptanceRule,
	type ConfigurationBody,
	type RejectedBody,
} from '../src/index.js';

const bodyOf = (version: number): ConfigurationBody =>
	writeConfiguration(version, [
		{service: `s${version}`, requests: [], calls: [], targets: []},
	]);

const damage = (body: ConfigurationBody): ConfigurationBody => ({
	...body,
	text: body.text.replace('service', 'serv1ce'),
});

const createWatch = (acceptance?: AcceptanceRule) => {
	const clock = createVirtualClock();
	const platform = createMemoryPlatform({clock});
	const watch = createConfigurationWatch({
		platform,
		clock,
		random: createRandom(3),
		...(acceptance && {acceptance}),
	});
	const publish = async (body: ConfigurationBody) => {
		const {version, checksum} = body;
		const head = {version, checksum, plan: 'p', author: 'a'};
		await platform.table.transact([
			{kind: 'put', key: headKey, value: JSON.stringify(head)},
			{kind: 'put', key: versionKey(version), value: JSON.stringify(body)},
		]);
	};

	return {clock, platform, watch, publish};
};

/** A request to a suspended peer. */
const answerNothing = (clock: Clock) => async () => {
	await sleep(clock, 60_000);
	return undefined;
};

describe('configuration watch', () => {
	it('starts with the defaults and accepts the version of the platform', async () => {
		const {clock, watch, publish} = createWatch();
		const stop = new AbortController();
		expect(watch.source()).to.equal('defaults');
		expect(watch.body()).to.equal(undefined);
		void watch.run(stop.signal);
		await publish(bodyOf(1));
		await clock.runTo(2400);
		expect(watch.current().version).to.equal(1);
		expect(watch.source()).to.equal('platform');
		stop.abort();
	});

	it('keeps the last accepted version through an outage', async () => {
		// The table is unreachable for an hour. A fallback to the defaults would turn
		// payments into normal requests in the middle of an incident.
		const {clock, platform, watch, publish} = createWatch();
		const stop = new AbortController();
		await publish(bodyOf(3));
		await watch.readPlatform();
		platform.faults.down = true;
		void watch.run(stop.signal);
		await clock.runTo(3_600_000);
		expect(watch.current().version).to.equal(3);
		expect(watch.platformState()).to.equal('unreachable');
		stop.abort();
	});

	it('fetches a higher version from the peer that announces it', async () => {
		const {watch} = createWatch();
		await watch.receiveVersion(4, async () => bodyOf(4));
		await watch.receiveVersion(2, async () =>
			expect.fail('an old body was fetched'),
		);
		await watch.receiveVersion(9, async () => undefined);
		expect(watch.current().version).to.equal(4);
		expect(watch.source()).to.equal('peer');
	});

	it('takes a version from a live peer while the peers that announced it first are suspended', async () => {
		// Guards against requests to suspended peers that keep out the one that would be answered.
		const {clock, platform, watch} = createWatch();
		platform.faults.down = true;
		for (const peer of ['first', 'second']) {
			void watch.receiveVersion(4, answerNothing(clock), peer);
		}

		await clock.runTo(500);
		void watch.receiveVersion(4, async () => bodyOf(4), 'third');
		await clock.runTo(510);
		expect(watch.versions()).to.deep.include({source: 'third', delay: 500});
		expect(watch.current().version).to.equal(4);
	});

	it('reads the platform when a peer does not send the version that it announced', async () => {
		// Guards against waiting for the next periodic read.
		const {clock, watch, publish} = createWatch();
		await publish(bodyOf(4));
		void watch.receiveVersion(4, answerNothing(clock));
		await clock.runTo(310);
		expect(watch.source()).to.equal('platform');
		expect(watch.current().version).to.equal(4);
	});

	it('rejects and reports a damaged body, and accepts the intact one later', async () => {
		// A body is damaged in transit from a peer or in the store. It could lack the
		// rule that protects payments, without any sign of it.
		const {watch, publish} = createWatch();
		const rejected: RejectedBody[] = [];
		void watch.rejected.observe((each) => rejected.push(each));
		await watch.receiveVersion(4, async () => damage(bodyOf(4)));
		await publish(damage(bodyOf(5)));
		await watch.readPlatform();
		expect(watch.current().version).to.equal(0);
		expect(rejected).to.deep.equal([
			{version: 4, source: 'peer', reason: 'checksum'},
			{version: 5, source: 'platform', reason: 'checksum'},
		]);
		await publish(bodyOf(5));
		await watch.readPlatform();
		expect(watch.current().version).to.equal(5);
	});

	describe('with any schedule of announcements, damage and outages', () => {
		const step = fastCheck.record({
			way: fastCheck.constantFrom(
				'announce',
				'offer',
				'read',
				'damaged',
				'down',
				'up',
			),
			version: fastCheck.integer({min: 1, max: 12}),
		});

		/** Runs the steps; returns the versions that were in force and whether each was intact. */
		const runSchedule = async (
			steps: Array<{way: string; version: number}>,
			acceptance: AcceptanceRule,
		) => {
			const {platform, watch, publish} = createWatch(acceptance);
			const inForce: Array<{version: number; isWhole: boolean}> = [];
			void watch.accepted.observe(({version, text}) => {
				inForce.push({version, isWhole: text === bodyOf(version).text});
			});
			const ways: Record<string, (version: number) => Promise<unknown>> = {
				announce: async (version) =>
					watch.receiveVersion(version, async () => bodyOf(version)),
				offer: async (version) => watch.offer(bodyOf(version), 'peer'),
				async read(version) {
					await publish(bodyOf(version));
					await watch.readPlatform();
				},
				damaged: async (version) =>
					watch.receiveVersion(version, async () => damage(bodyOf(version))),
				async down() {
					platform.faults.down = true;
				},
				async up() {
					platform.faults.down = false;
				},
			};
			for (const {way, version} of steps) {
				// eslint-disable-next-line no-await-in-loop -- a schedule is a sequence.
				await ways[way]!(version);
			}

			return inForce;
		};

		const isMonotonicAndWhole = (
			inForce: Array<{version: number; isWhole: boolean}>,
		) =>
			inForce.every(
				({version, isWhole}, index) =>
					isWhole && version > (inForce[index - 1]?.version ?? 0),
			);

		it('never goes back to an older version and never has a damaged body in force', async () => {
			// A data centre rejoins with an older version and gossips it, a store returns
			// a stale row, bodies are truncated. In no order may an accepted
			// configuration be reverted.
			await fastCheck.assert(
				fastCheck.asyncProperty(fastCheck.array(step), async (steps) =>
					isMonotonicAndWhole(
						await runSchedule(steps, acceptanceRules.higherAndWhole),
					),
				),
				{seed: 41, numRuns: 500},
			);
		});

		it('goes back with the naive rule that accepts the last received', async () => {
			const result = await fastCheck.check(
				fastCheck.asyncProperty(fastCheck.array(step), async (steps) =>
					isMonotonicAndWhole(
						await runSchedule(steps, acceptanceRules.lastReceived),
					),
				),
				{seed: 41, numRuns: 500},
			);
			expect(result.failed).to.equal(true);
		});
	});
});
