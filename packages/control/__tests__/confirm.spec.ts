import type {Platform} from '@egretspoke/storage';
import {
	createRandom,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {createMemoryPlatform, type MemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {
	confirmPlan,
	storePlan,
	preparePlan,
	readHead,
	readIntents,
	readVersion,
	defaultConfiguration,
	readConfiguration,
	type Configuration,
	type ConfirmOptions,
	type HeadWrite,
} from '../src/index.js';

type Answer = Awaited<ReturnType<typeof confirmPlan>>;

describe('confirm', () => {
	let clock: VirtualClock;
	let platform: MemoryPlatform;
	let options: ConfirmOptions;

	beforeEach(() => {
		clock = createVirtualClock();
		platform = createMemoryPlatform({clock, timeout: 2000});
		options = {platform, clock, random: createRandom(5)};
	});

	const storePlanFrom = async (
		id: string,
		text: string,
		base: Configuration = defaultConfiguration,
	) => {
		const {plan, body} = preparePlan({
			id,
			author: `author of ${id}`,
			createdAt: clock.date(),
			intents: readIntents({text, file: id})._unsafeUnwrap(),
			base,
			targets: [],
		});
		const stored = await storePlan(platform, plan, body);
		expect(stored.isOk()).to.equal(true);
	};

	/** Runs the clock until the confirmation is answered. */
	const confirm = async (
		id: string,
		changes: Partial<ConfirmOptions> = {},
	): Promise<Answer> => {
		const confirming = confirmPlan(id, {...options, ...changes});
		await clock.runTo(clock.now() + 60_000);
		return confirming;
	};

	const accepted = async () => {
		const head = await readHead(platform);
		const version = head._unsafeUnwrap().value?.version ?? 0;
		const body = await readVersion(platform, version);
		return readConfiguration(body._unsafeUnwrap()!)._unsafeUnwrap();
	};

	describe('two operators', () => {
		/** Confirms two plans made from version 1; the answers are in the order of the confirmations. */
		const race = async (headWrite: HeadWrite) => {
			await storePlanFrom('p0', '{service: orders, attempts: 1}');
			await confirm('p0');
			const base = await accepted();
			await storePlanFrom('p1', '{service: orders, attempts: 2}', base);
			await storePlanFrom('p2', '{service: boats, attempts: 3}', base);
			platform.faults.delay = 20;
			const first = confirmPlan('p1', {...options, headWrite});
			const second = confirmPlan('p2', {...options, headWrite});
			await clock.runTo(clock.now() + 10_000);
			platform.faults.delay = 0;
			return {answers: [await first, await second], after: await accepted()};
		};

		it('accepts one plan and reports to the other which plan and author won', async () => {
			// Two operators plan from the same version and confirm at the same moment.
			// The slower one must receive the conflict, or they would assume that their
			// rule is in force.
			const {answers, after} = await race('compareAndSet');
			expect(answers).to.deep.equal([
				{result: 'accepted', plan: 'p1', version: 2, repeated: false},
				{
					result: 'conflict',
					plan: 'p2',
					baseVersion: 1,
					currentVersion: 2,
					byPlan: 'p1',
					byAuthor: 'author of p1',
				},
			]);
			expect(
				after.services.map(({service, attempts}) => [service, attempts]),
			).to.deep.equal([['orders', 2]]);
		});

		it('silently loses the first change when the head is overwritten', async () => {
			// The naive write: both operators receive `accepted`, and the first change is
			// lost without an error.
			const {answers, after} = await race('overwrite');
			expect(
				answers.map((answer) => answer !== 'notFound' && answer.result),
			).to.deep.equal(['accepted', 'accepted']);
			expect(
				after.services.map(({service, attempts}) => [service, attempts]),
			).to.deep.equal([
				['boats', 3],
				['orders', 1],
			]);
		});

		it('rejects a plan with an outdated base, also when it is confirmed later', async () => {
			await storePlanFrom('p1', '{service: orders}');
			await storePlanFrom('p2', '{service: boats}');
			await confirm('p1');
			const answer = await confirm('p2');
			expect(answer).to.include({result: 'conflict', byPlan: 'p1'});
		});
	});

	describe('a lost response', () => {
		it('is resolved by the plan record when the write took effect', async () => {
			// The platform writes everything and the connection breaks before the
			// response. If this were reported as a failure, the operator would plan again
			// or assume that the old rules are in force.
			await storePlanFrom('p1', '{service: orders}');
			platform.faults.lostAnswers = 1;
			expect(await confirm('p1')).to.deep.equal({
				result: 'accepted',
				plan: 'p1',
				version: 1,
				repeated: false,
			});
			expect(await confirm('p1')).to.include({
				result: 'accepted',
				repeated: true,
			});
		});

		it('is reported as unknown with the command that settles it while the platform is down', async () => {
			// The response is lost and the platform stays unreachable. The outcome cannot
			// be determined, and either guess could be wrong.
			await storePlanFrom('p1', '{service: orders}');
			platform.faults.lostAnswers = 1;
			const confirming = confirmPlan('p1', options);
			await clock.runTo(clock.now() + 1);
			platform.faults.down = true;
			await clock.runTo(clock.now() + 60_000);
			expect(await confirming).to.include({
				result: 'unknown',
				settle: 'egretspoke confirm p1',
			});
			platform.faults.down = false;
			expect(await confirm('p1')).to.include({result: 'accepted', version: 1});
		});

		it('reports a conflict to a second plan that is confirmed meanwhile', async () => {
			await storePlanFrom('p1', '{service: orders}');
			await storePlanFrom('p2', '{service: boats}');
			platform.faults.lostAnswers = 1;
			const first = confirmPlan('p1', options);
			const second = await confirm('p2');
			expect(await first).to.include({result: 'accepted'});
			expect(second).to.include({result: 'conflict', byPlan: 'p1'});
		});

		it('takes effect once when a slow write arrives after its retry', async () => {
			// The platform is slow: the client has timed out, and the write arrives
			// later. The retry has the same conditions, so only one of the two can take
			// effect, and no version is skipped.
			await storePlanFrom('p1', '{service: orders}');
			const delays = [2200];
			const slow: Platform = {
				...platform,
				table: {
					...platform.table,
					transact(writes) {
						platform.faults.delay = delays.pop() ?? 0;
						const writing = platform.table.transact(writes);
						platform.faults.delay = 0;
						return writing;
					},
				},
			};
			const answer = await confirm('p1', {platform: slow});
			expect(answer).to.include({result: 'accepted', version: 1});
			const head = await platform.table.read('configuration/head');
			const rows = await platform.table.list('');
			expect(delays).to.deep.equal([]);
			expect(head._unsafeUnwrap()?.value).to.include('"plan":"p1"');
			expect(rows._unsafeUnwrap().map(({version}) => version)).to.deep.equal([
				2, 3, 4,
			]);
		});
	});

	describe('the platform between plan and confirm', () => {
		it('returns unavailable when it is down, and the plan can be confirmed later', async () => {
			await storePlanFrom('p1', '{service: orders}');
			platform.faults.down = true;
			expect(await confirm('p1')).to.include({
				result: 'unavailable',
				plan: 'p1',
			});
			platform.faults.down = false;
			expect(await confirm('p1')).to.include({result: 'accepted', version: 1});
		});

		it('confirms on a slow platform', async () => {
			await storePlanFrom('p1', '{service: orders}');
			platform.faults.delay = 1500;
			expect(await confirm('p1')).to.include({result: 'accepted', version: 1});
		});

		it('returns notFound for a plan that was never made', async () => {
			expect(await confirm('p9')).to.equal('notFound');
		});
	});

	it('stores a large body in the object store', async () => {
		const many = Array.from(
			{length: 400},
			(_, index) => `{match: {path: /part-${index}}, class: essential}`,
		);
		await storePlanFrom(
			'p1',
			`{service: orders, requests: [${many.join(', ')}]}`,
		);
		expect(await confirm('p1')).to.include({result: 'accepted'});
		const after = await accepted();
		expect(after.services[0]?.requests).to.have.length(400);
		const row = await platform.table.read('configuration/version/000000000001');
		expect(row._unsafeUnwrap()?.value.length).to.be.below(300);
	});
});
