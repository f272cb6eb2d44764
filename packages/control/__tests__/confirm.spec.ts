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

	/** Runs the clock until the confirmation has its answer. */
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
		/** Both plans are made from version 1; the answers come in the order of the confirmations. */
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

		it('lets one win and tells the other by whom it was beaten', async () => {
			// Two operators plan from the same version and confirm within the same
			// moment. The slower one must learn it, and by whom; otherwise it believes
			// that its rule is in force.
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

		it('loses the first one silently when the head is overwritten', async () => {
			// The naive write: both are told that they were accepted, and the change
			// of the first is gone without a word.
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

		it('refuses a plan whose base has passed, later as well', async () => {
			await storePlanFrom('p1', '{service: orders}');
			await storePlanFrom('p2', '{service: boats}');
			await confirm('p1');
			const answer = await confirm('p2');
			expect(answer).to.include({result: 'conflict', byPlan: 'p1'});
		});
	});

	describe('an answer that is lost', () => {
		it('is settled by the plan record when the write took effect', async () => {
			// The platform writes everything and the connection breaks before the
			// answer. Told that it failed, the operator would plan the same again or
			// believe that the old rules hold.
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

		it('is told as unknown with the command that settles it when nobody can look', async () => {
			// The answer is lost and the platform stays away. The truth can't be had
			// now, and a guess either way would be wrong half of the time.
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

		it('keeps the loser a loser when another plan wins meanwhile', async () => {
			await storePlanFrom('p1', '{service: orders}');
			await storePlanFrom('p2', '{service: boats}');
			platform.faults.lostAnswers = 1;
			const first = confirmPlan('p1', options);
			const second = await confirm('p2');
			expect(await first).to.include({result: 'accepted'});
			expect(second).to.include({result: 'conflict', byPlan: 'p1'});
		});

		it('takes effect once when a slow write comes in after its repeat', async () => {
			// The platform is slow: the client has given up, and the write lands
			// later. The repeat carries the same conditions, so only one of the two
			// can take effect, and no version is skipped.
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
		it('says unavailable when it is down, and the plan is good later', async () => {
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

		it('does not know a plan that was never made', async () => {
			expect(await confirm('p9')).to.equal('notFound');
		});
	});

	it('keeps a large body in the object store', async () => {
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
