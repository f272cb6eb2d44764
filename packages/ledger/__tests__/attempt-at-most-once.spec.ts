import {
	acceptCertifiedRefusal,
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
	createNotRunOutcome,
	type Answer,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';
import {createVirtualClock, sleep} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	attemptAtMostOnce,
	createLedger,
	type Attempt,
	type AttemptOptions,
} from '../src/index.js';

describe('attempts at a non-idempotent request', () => {
	it('give every caller of one key the answer of the one run', async () => {
		// A client sends the same booking again and again while the first is
		// running. Each copy that were dispatched would book a shift.
		const home = create();
		const attempts = Array.from({length: 20}, async () => home.attempt());
		await home.clock.runTo(50);
		const outcomes = await Promise.all(attempts);
		expect(home.ran()).to.equal(1);
		expect(outcomes.every(({kind}) => kind === 'answered')).to.equal(true);
	});

	it('try a second target only after a definite refusal', async () => {
		const home = create({
			dispatch: async (attempt) =>
				attempt.number < 3 ? refuseAfterHandOver(attempt) : home.run(attempt),
		});
		const outcome = home.attempt();
		await home.clock.runTo(50);
		expect(kindOf(await outcome)).to.equal('answered');
		expect(home.ran()).to.equal(1);
	});

	it('are never repeated after a lost answer', async () => {
		// The target charges the boat owner and its connection breaks before the
		// answer. Tried at a second target, the payment would run twice.
		const home = create({
			async dispatch(attempt) {
				await home.run(attempt);
				return createUnknownOutcome(createRefusal(ErrorCode.AnswerLost));
			},
		});
		const first = home.attempt();
		await home.clock.runTo(50);
		expect(codeOf(await first)).to.equal(ErrorCode.AnswerLost);
		expect(codeOf(await home.attempt())).to.equal(ErrorCode.AnswerLost);
		expect(home.ran()).to.equal(1);
	});

	it('end with the refusal when the retries are spent, and free the key', async () => {
		const home = create({
			dispatch: async (attempt) => refuseAfterHandOver(attempt),
			retry: async (refusal, number) => (number < 2 ? undefined : refusal),
		});
		const outcome = await home.attempt();
		expect(outcome.kind).to.equal('notRun');
		expect(home.ledger.size().keys).to.equal(0);
	});

	it('are not dispatched by a home that was frozen past the deadline', async () => {
		// The home is stopped while it holds a booking, and its caller gives up.
		// On waking, work that was ready runs before the timers that are overdue;
		// the booking would appear long after the caller was told of its end.
		const home = create({
			async dispatch(attempt) {
				await sleep(home.frozen.clock, 10);
				return home.run(attempt);
			},
		});
		const outcome = home.attempt();
		home.frozen.now = 5000;
		await home.clock.runTo(11);
		expect(codeOf(await outcome)).to.equal(ErrorCode.DeadlinePassed);
		expect(kindOf(await outcome)).to.equal('notRun');
		expect(home.ran()).to.equal(0);
	});

	it('are answered at the deadline, and a repeat finds the late answer', async () => {
		// A booking takes longer than its caller waits. The caller must hear at
		// once that it may have run, and its repeat must not book again.
		const home = create({
			async dispatch(attempt) {
				const outcome = await home.run(attempt);
				await sleep(home.clock, 5000);
				return outcome;
			},
		});
		const first = home.attempt();
		await home.clock.runTo(1000);
		expect(codeOf(await first)).to.equal(ErrorCode.DeadlineWhileRunning);
		const second = home.attempt({deadline: 1500});
		await home.clock.runTo(1500);
		expect(codeOf(await second)).to.equal(ErrorCode.StillRunning);
		const third = home.attempt({deadline: 9000});
		await home.clock.runTo(9000);
		expect(await third).to.include({kind: 'answered', repeated: true});
		expect(home.ran()).to.equal(1);
	});

	it('are truthfully not run at the deadline while still waiting', async () => {
		const home = create({
			dispatch: async (attempt) => waitForever(attempt),
		});
		const outcome = home.attempt();
		await home.clock.runTo(1000);
		expect(kindOf(await outcome)).to.equal('notRun');
		expect(codeOf(await outcome)).to.equal(ErrorCode.DeadlinePassed);
		expect(home.ledger.size().keys).to.equal(0);
	});

	it('are not run at the deadline during the back-off after a refusal', async () => {
		const home = create({
			dispatch: async (attempt) => refuseAfterHandOver(attempt),
			async retry() {
				await sleep(home.clock, 5000);
				return undefined;
			},
		});
		const outcome = home.attempt();
		await home.clock.runTo(1000);
		expect(kindOf(await outcome)).to.equal('notRun');
		await home.clock.runTo(6000);
		expect(home.ran()).to.equal(0);
	});

	it('stop waiting when the caller goes before the hand-over', async () => {
		const caller = new AbortController();
		const home = create({
			dispatch: async (attempt) => waitForever(attempt),
		});
		const first = home.attempt({signal: caller.signal});
		caller.abort();
		expect(codeOf(await first)).to.equal(ErrorCode.CallerGone);
		expect(kindOf(await first)).to.equal('notRun');
	});

	it('finish when the caller goes after the hand-over', async () => {
		// A phone loses its connection while the payment runs, and repeats it.
		// Had the payment been cancelled halfway, nobody could tell its end.
		const caller = new AbortController();
		const home = create();
		const first = home.attempt({signal: caller.signal});
		await home.clock.runTo(5);
		caller.abort();
		const second = home.attempt();
		await home.clock.runTo(50);
		expect(kindOf(await first)).to.equal('answered');
		expect(kindOf(await second)).to.equal('answered');
		expect(home.ran()).to.equal(1);
	});

	it('let a waiting repeat take the place of a caller that went', async () => {
		// The first copy waits in the queue when its connection breaks. Told "the
		// caller has gone", the second copy's user would see a needless refusal.
		const caller = new AbortController();
		let calls = 0;
		const home = create({
			dispatch: async (attempt) =>
				calls++ === 0 ? waitForever(attempt) : home.run(attempt),
		});
		const first = home.attempt({signal: caller.signal});
		const second = home.attempt();
		caller.abort();
		await home.clock.runTo(50);
		expect(kindOf(await first)).to.equal('notRun');
		expect(kindOf(await second)).to.equal('answered');
		expect(home.ran()).to.equal(1);
	});

	it('lose a refusal that races the dispatch', async () => {
		// The deadline fires in the same turn in which the request is handed
		// over. Whoever is second must not win, or a "not run" would have run.
		const home = create({
			async dispatch(attempt) {
				await sleep(home.clock, 1000 - home.clock.now());
				return home.run(attempt);
			},
		});
		const outcome = home.attempt();
		await home.clock.runTo(2000);
		expect(kindOf(await outcome)).to.equal('notRun');
		expect(home.ran()).to.equal(0);
	});

	for (const handedOver of [false, true]) {
		const kind = handedOver ? 'unknown' : 'notRun';
		it(`end as ${kind} when the dispatch fails ${handedOver ? 'after' : 'before'} the hand-over`, async () => {
			// A fault in the node throws in the middle of a dispatch. Only the
			// ticket still tells whether the request had left.
			const home = create({
				async dispatch(attempt) {
					if (handedOver) {
						attempt.ticket.handOver();
					}

					throw new Error('no route');
				},
			});
			const outcome = await home.attempt();
			expect(outcome.kind).to.equal(kind);
			expect(codeOf(outcome)).to.equal(ErrorCode.Internal);
		});
	}

	it('are not handed over once the key has expired in the queue', async () => {
		const home = create({
			async dispatch(attempt) {
				await sleep(home.clock, 500);
				return home.run(attempt);
			},
		});
		const outcome = home.attempt({lifetime: 400});
		await home.clock.runTo(600);
		expect(codeOf(await outcome)).to.equal(ErrorCode.KeyExpired);
		expect(home.ran()).to.equal(0);
	});
});

const answer: Answer = {
	status: 201,
	headers: {},
	body: new TextEncoder().encode('booked'),
};

type Overrides = Partial<Pick<AttemptOptions, 'dispatch' | 'retry'>>;

/** A home whose target takes 20 ms; `frozen` reads as a process that lost time. */
function create(overrides: Overrides = {}) {
	const clock = createVirtualClock();
	const frozen = {now: 0, clock};
	const seen = {...clock, now: () => Math.max(frozen.now, clock.now())};
	const ledger = createLedger({
		clock: seen,
		capacity: 100,
		bytesCapacity: 10_000,
		maximumLifetime: 600_000,
	});
	const origin = clock.date().getTime();
	let runs = 0;

	const run = async (attempt: Attempt): Promise<Outcome> => {
		if (!attempt.ticket.handOver()) {
			return endUnsent(attempt);
		}

		runs++;
		await sleep(clock, 20);
		return {kind: 'answered', answer};
	};

	type Given = {deadline?: number; signal?: AbortSignal; lifetime?: number};
	const attempt = async (given: Given = {}) =>
		attemptAtMostOnce({
			clock: seen,
			ledger,
			request: {
				service: 'bookings',
				key: 'key',
				fingerprint: 'fingerprint',
				expiry: origin + (given.lifetime ?? 60_000),
			},
			deadline: given.deadline ?? 1000,
			signal: given.signal ?? new AbortController().signal,
			dispatch: overrides.dispatch ?? run,
			retry: overrides.retry ?? (async () => undefined),
		});

	return {clock, frozen, ledger, attempt, run, ran: () => runs};
}

function refuseAfterHandOver(attempt: Attempt): Outcome {
	return attempt.ticket.handOver()
		? createNotRunOutcome(
				acceptCertifiedRefusal('peer'),
				createRefusal(ErrorCode.Overloaded),
			)
		: endUnsent(attempt);
}

async function waitForever(attempt: Attempt): Promise<Outcome> {
	await new Promise((resolve) => {
		attempt.signal.addEventListener('abort', resolve);
	});
	return endUnsent(attempt);
}

function endUnsent(attempt: Attempt): Outcome {
	const refusal =
		attempt.ticket.obstacle() ?? createRefusal(ErrorCode.CallerGone);
	return createNotRunOutcome(attempt.ticket.revoke()._unsafeUnwrap(), refusal);
}

function kindOf(outcome: Outcome): Outcome['kind'] {
	return outcome.kind;
}

function codeOf(outcome: Outcome): Refusal['code'] | undefined {
	return outcome.kind === 'answered' ? undefined : outcome.refusal.code;
}
