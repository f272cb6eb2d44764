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
	it('return the answer of the only run to every caller of a key', async () => {
		// Guards against duplicate bookings when a client repeats a booking while
		// the first attempt is still running.
		const home = createHome();
		const attempts = Array.from({length: 20}, async () => home.attempt());
		await home.clock.runTo(50);
		const outcomes = await Promise.all(attempts);
		expect(home.ran()).to.equal(1);
		expect(outcomes.every(({kind}) => kind === 'answered')).to.equal(true);
	});

	it('try a second target only after a definite refusal', async () => {
		const home = createHome({
			dispatch: async (attempt) =>
				attempt.number < 3 ? refuseAfterHandOver(attempt) : home.run(attempt),
		});
		const outcome = home.attempt();
		await home.clock.runTo(50);
		expect(kindOf(await outcome)).to.equal('answered');
		expect(home.ran()).to.equal(1);
	});

	it('are never repeated after a lost answer', async () => {
		// The target runs a payment, and its connection is lost before the answer.
		// A retry at a second target would run the payment twice.
		const home = createHome({
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

	it('end with the refusal when no retries are left, and release the key', async () => {
		const home = createHome({
			dispatch: async (attempt) => refuseAfterHandOver(attempt),
			retry: async (refusal, number) => (number < 2 ? undefined : refusal),
		});
		const outcome = await home.attempt();
		expect(outcome.kind).to.equal('notRun');
		expect(home.ledger.size().keys).to.equal(0);
	});

	it('are not dispatched by a home that was frozen past the deadline', async () => {
		// The home is frozen while it holds a booking, and the deadline passes. When
		// it resumes, pending work runs before overdue timers; the booking would
		// appear long after its caller had received the refusal.
		const home = createHome({
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

	it('are answered at the deadline, and a repeat receives the late answer', async () => {
		// A booking takes longer than its deadline. The caller must immediately
		// receive that it may have run, and its repeat must not book again.
		const home = createHome({
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

	it('are not run when the deadline passes before the hand-over', async () => {
		const home = createHome({
			dispatch: async (attempt) => waitForever(attempt),
		});
		const outcome = home.attempt();
		await home.clock.runTo(1000);
		expect(kindOf(await outcome)).to.equal('notRun');
		expect(codeOf(await outcome)).to.equal(ErrorCode.DeadlinePassed);
		expect(home.ledger.size().keys).to.equal(0);
	});

	it('are not run when the deadline passes during the backoff after a refusal', async () => {
		const home = createHome({
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

	it('stop waiting when the caller disconnects before the hand-over', async () => {
		const caller = new AbortController();
		const home = createHome({
			dispatch: async (attempt) => waitForever(attempt),
		});
		const first = home.attempt({signal: caller.signal});
		caller.abort();
		expect(codeOf(await first)).to.equal(ErrorCode.CallerGone);
		expect(kindOf(await first)).to.equal('notRun');
	});

	it('finish when the caller disconnects after the hand-over', async () => {
		// A phone loses its connection while a payment runs, and repeats it. If the
		// payment had been cancelled midway, its outcome would be unknown.
		const caller = new AbortController();
		const home = createHome();
		const first = home.attempt({signal: caller.signal});
		await home.clock.runTo(5);
		caller.abort();
		const second = home.attempt();
		await home.clock.runTo(50);
		expect(kindOf(await first)).to.equal('answered');
		expect(kindOf(await second)).to.equal('answered');
		expect(home.ran()).to.equal(1);
	});

	it('let a waiting repeat replace an attempt whose caller has disconnected', async () => {
		// The caller of the first attempt disconnects while it is queued. If the
		// repeat shared its `CallerGone` outcome, it would be refused needlessly.
		const caller = new AbortController();
		let calls = 0;
		const home = createHome({
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

	it('are not dispatched when the deadline passes in the same turn', async () => {
		// The deadline timer fires in the same turn in which the request is handed
		// over. Only the first of both may take effect; otherwise a request that
		// was reported as not run would have run.
		const home = createHome({
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
			// An error is thrown during a dispatch. Only the state of the ticket
			// shows whether the request was already sent.
			const home = createHome({
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
		const home = createHome({
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

/**
 * Creates a home whose target takes 20 ms. A value of `frozen.now` ahead of the
 * clock simulates a process that was frozen until then.
 */
function createHome(overrides: Overrides = {}) {
	const clock = createVirtualClock();
	const frozen = {now: 0, clock};
	const freezableClock = {
		...clock,
		now: () => Math.max(frozen.now, clock.now()),
	};
	const ledger = createLedger({
		clock: freezableClock,
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

	type RequestOptions = {
		deadline?: number;
		signal?: AbortSignal;
		lifetime?: number;
	};
	const attempt = async (requestOptions: RequestOptions = {}) =>
		attemptAtMostOnce({
			clock: freezableClock,
			ledger,
			request: {
				service: 'bookings',
				key: 'key',
				fingerprint: 'fingerprint',
				expiry: origin + (requestOptions.lifetime ?? 60_000),
			},
			deadline: requestOptions.deadline ?? 1000,
			signal: requestOptions.signal ?? new AbortController().signal,
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
