import {
	createHandOverTicket,
	createRefusal,
	ErrorCode,
	type Answer,
	type NotRunProof,
	type Outcome,
} from '@egretspoke/protocol';
import {createVirtualClock, type VirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	createLedger,
	type LedgerDecision,
	type LedgerOptions,
	type LedgerRequest,
	type LedgerRun,
} from '../src/index.js';

const minute = 60_000;

describe('ledger', () => {
	describe('the first attempt', () => {
		it('runs, and a second one receives that it is still running', () => {
			const {ledger, request} = create();
			expect(ledger.begin(request()).kind).to.equal('run');
			expect(ledger.begin(request()).kind).to.equal('stillRunning');
			expect(ledger.size()).to.deep.equal({
				keys: 1,
				running: 1,
				answerBytes: 0,
			});
		});

		it('runs again after a definite refusal, and only then', () => {
			const {ledger, request} = create();
			const first = runOf(ledger.begin(request()));
			first.notRun(createProof(), createRefusal(ErrorCode.Overloaded));
			const second = runOf(ledger.begin(request()));
			second.unknown(createRefusal(ErrorCode.AnswerLost));
			expect(codeOf(ledger.begin(request()))).to.equal(ErrorCode.AnswerLost);
		});

		it('keeps keys of two services apart', () => {
			const {ledger, request} = create();
			ledger.begin(request());
			expect(ledger.begin({...request(), service: 'payments'}).kind).to.equal(
				'run',
			);
		});
	});

	describe('a repeat', () => {
		it('gets the recorded answer, marked as repeated', () => {
			const {ledger, request} = create();
			runOf(ledger.begin(request())).answered(answerOf('receipt 7'));
			const outcome = outcomeOf(ledger.begin(request()));
			expect(outcome).to.deep.equal({
				kind: 'answered',
				answer: answerOf('receipt 7'),
				repeated: true,
			});
		});

		it('keeps its own copy of a body that the caller overwrites', () => {
			const {ledger, request} = create();
			const answer = answerOf('receipt 7');
			runOf(ledger.begin(request())).answered(answer);
			answer.body.fill(0);
			const outcome = outcomeOf(ledger.begin(request()));
			expect(outcome.kind === 'answered' && outcome.answer).to.deep.equal(
				answerOf('receipt 7'),
			);
		});

		it('gets an answer that arrived after the outcome was unknown', () => {
			const {ledger, request} = create();
			const run = runOf(ledger.begin(request()));
			run.unknown(createRefusal(ErrorCode.DeadlineWhileRunning));
			run.answered(answerOf('late'));
			run.unknown(createRefusal(ErrorCode.AnswerLost));
			run.notRun(createProof(), createRefusal(ErrorCode.Overloaded));
			expect(outcomeOf(ledger.begin(request())).kind).to.equal('answered');
		});

		it('with another body is refused and never answered from the ledger', () => {
			// A faulty caller sends two orders under one key. With the receipt of the
			// first order, the second would look completed without having run.
			const {ledger, request} = create();
			runOf(ledger.begin(request())).answered(answerOf('receipt 7'));
			const other = {...request(), fingerprint: 'another'};
			expect(codeOf(ledger.begin(other))).to.equal(ErrorCode.KeyReused);
			expect(outcomeOf(ledger.begin(other)).kind).to.equal('unknown');
		});

		it('under another expiry is refused, but not as not run', () => {
			// A caller that computes a new expiry for each repeat would still repeat
			// after the entry was removed, and its payment would run a second time.
			const {ledger, request} = create();
			runOf(ledger.begin(request())).answered(answerOf('receipt 7'));
			const later = {...request(), expiry: request().expiry! + 1};
			expect(codeOf(ledger.begin(later))).to.equal(ErrorCode.KeyReused);
			expect(outcomeOf(ledger.begin(later)).kind).to.equal('unknown');
		});

		it('beyond the maximum number of waiters immediately ends as still running', () => {
			const {ledger, request} = create({waitersCapacity: 2});
			ledger.begin(request());
			ledger.begin(request());
			ledger.begin(request());
			expect(codeOf(ledger.begin(request()))).to.equal(ErrorCode.StillRunning);
		});
	});

	describe('expiry', () => {
		it('refuses an expired key, whether or not it is still stored', () => {
			// A phone that was off overnight repeats its payment in the morning. The
			// home has removed the key by then; if it counted as a new one, the
			// payment would run twice.
			const {ledger, request, clock} = create();
			const old = request();
			runOf(ledger.begin(old)).answered(answerOf('receipt 7'));
			clock.advanceTo(10 * minute);
			expect(codeOf(ledger.begin(old))).to.equal(ErrorCode.KeyExpired);
			clock.advanceTo(20 * minute);
			expect(codeOf(ledger.begin(old))).to.equal(ErrorCode.KeyExpired);
			expect(outcomeOf(ledger.begin(old)).kind).to.equal('unknown');
			expect(ledger.size()).to.deep.equal({
				keys: 0,
				running: 0,
				answerBytes: 0,
			});
		});

		it('refuses a removed key after the wall clock was set back', () => {
			// An operator sets the clock of the machine back by some minutes. A key
			// that had expired appears unexpired, its entry has been removed, and
			// without a guard its payment would run a second time.
			const {ledger, request, clock, wall} = create();
			const old = request();
			runOf(ledger.begin(old)).answered(answerOf('receipt 7'));
			clock.advanceTo(11 * minute);
			ledger.begin(request('another key', 30 * minute));
			expect(ledger.size().keys).to.equal(1);
			wall.offset = -5 * minute;
			expect(codeOf(ledger.begin(old))).to.equal(ErrorCode.KeyExpired);
		});

		it('retains a key while the wall clock is temporarily ahead', () => {
			// The clock of the machine jumps ahead for a second and back. If entries
			// were removed in that second, repeats would run again.
			const {ledger, request, clock, wall} = create();
			runOf(ledger.begin(request())).answered(answerOf('receipt 7'));
			const old = request();
			wall.offset = 60 * minute;
			clock.advanceTo(2000);
			expect(codeOf(ledger.begin(old))).to.equal(ErrorCode.KeyExpired);
			wall.offset = 0;
			expect(outcomeOf(ledger.begin(old)).kind).to.equal('answered');
		});

		it('refuses a key that expires later than the maximum lifetime', () => {
			const {ledger, request, wallTime} = create();
			const far = {...request(), expiry: wallTime() + 61 * minute};
			expect(codeOf(ledger.begin(far))).to.equal(ErrorCode.KeyExpiryTooFar);
		});

		it('refuses a key without an expiry unless a default lifetime is set', () => {
			const {request, ledger} = create();
			const {expiry, ...bare} = request();
			expect(codeOf(ledger.begin(bare))).to.equal(ErrorCode.KeyExpiryRequired);
			const lenient = create({defaultLifetime: minute}).ledger;
			expect(runOf(lenient.begin(bare)).expiry).to.be.a('number');
			expect(lenient.begin(bare).kind).to.equal('stillRunning');
		});

		it('removes a run that was never settled once its key has expired', () => {
			const {ledger, request, clock} = create();
			const run = runOf(ledger.begin(request()));
			clock.advanceTo(12 * minute);
			ledger.begin(request('another key', 30 * minute));
			expect(ledger.size()).to.include({keys: 1, running: 1});
			run.answered(answerOf('far too late'));
			expect(ledger.size().answerBytes).to.equal(0);
		});
	});

	describe('mayHaveRun', () => {
		it('is false only for a key that is neither stored nor expired', () => {
			// A suspended home refuses new work. It has removed an expired key, and an
			// outcome of "not run" for a repeat would be false for a payment that ran.
			const {ledger, request, clock} = create();
			const old = request();
			expect(ledger.mayHaveRun(old)).to.equal(false);
			ledger.begin(old);
			expect(ledger.mayHaveRun(old)).to.equal(true);
			clock.advanceTo(20 * minute);
			ledger.begin(request('another key', 30 * minute));
			expect(ledger.size().keys).to.equal(1);
			expect(ledger.mayHaveRun(old)).to.equal(true);
		});
	});

	describe('bounds', () => {
		it('refuses new keys when full, and evicts no unexpired one', () => {
			// A burst of bookings fills the ledger. If the oldest key were evicted, its
			// repeat would book a second time.
			const {ledger, request, clock} = create({capacity: 2});
			const [first, second, third] = ['a', 'b', 'c'].map((key) => request(key));
			runOf(ledger.begin(first!)).answered(answerOf('booked'));
			ledger.begin(second!);
			const refused = outcomeOf(ledger.begin(third!));
			expect(refused.kind).to.equal('notRun');
			expect(refused.kind === 'notRun' && refused.refusal.code).to.equal(
				ErrorCode.LedgerFull,
			);
			expect(
				refused.kind === 'notRun' && refused.refusal.retryAfter,
			).to.be.within(1000, 11 * minute);
			expect(outcomeOf(ledger.begin(first!)).kind).to.equal('answered');
			clock.advanceTo(11 * minute + 1000);
			expect(ledger.begin(request('d', 30 * minute)).kind).to.equal('run');
		});

		it('evicts old answers at the byte limit, but still records that the requests ran', () => {
			const {ledger, request} = create({bytesCapacity: 20});
			for (const key of ['a', 'b', 'c']) {
				runOf(ledger.begin(request(key))).answered(answerOf('0123456789'));
			}

			expect(ledger.size()).to.include({keys: 3, answerBytes: 20});
			expect(codeOf(ledger.begin(request('a')))).to.equal(
				ErrorCode.OutcomeForgotten,
			);
			expect(outcomeOf(ledger.begin(request('c'))).kind).to.equal('answered');
		});

		it('does not store an answer larger than the byte limit', () => {
			const {ledger, request} = create({bytesCapacity: 4});
			runOf(ledger.begin(request())).answered(answerOf('0123456789'));
			expect(ledger.size().answerBytes).to.equal(0);
			expect(codeOf(ledger.begin(request()))).to.equal(
				ErrorCode.OutcomeForgotten,
			);
		});

		it('respects its limits and runs no key twice in any order of events', () => {
			const step = fc.record({
				key: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
				lifetime: fc.constantFrom(1, 5),
				end: fc.constantFrom('none', 'answered', 'unknown', 'notRun'),
				wait: fc.integer({min: 0, max: 90_000}),
				jump: fc.constantFrom(0, 0, 0, minute, -2 * minute),
			});
			fc.assert(
				fc.property(fc.array(step, {maxLength: 60}), (steps) => {
					const {ledger, request, clock, wall} = create({
						capacity: 3,
						bytesCapacity: 25,
					});
					const ran = new Set<string>();
					for (const {key, lifetime, end, wait, jump} of steps) {
						const name = `${key}${lifetime}`;
						const decision = ledger.begin(request(name, lifetime * minute));
						if (decision.kind === 'run') {
							expect(ran.has(name)).to.equal(false);
							if (end !== 'notRun') {
								ran.add(name);
							}

							finish(decision.run, end);
						}

						expect(ledger.size().keys).to.be.at.most(3);
						expect(ledger.size().answerBytes).to.be.at.most(25);
						clock.advanceTo(clock.now() + wait);
						wall.offset += jump;
					}
				}),
				{seed: 4, numRuns: 300},
			);
		});
	});
});

function create(options: Partial<LedgerOptions> = {}) {
	const virtual = createVirtualClock();
	const wall = {offset: 0};
	const clock: VirtualClock = {
		...virtual,
		date: () => new Date(virtual.date().getTime() + wall.offset),
	};
	const origin = clock.date().getTime();
	const ledger = createLedger({
		clock,
		capacity: 100,
		bytesCapacity: 1000,
		maximumLifetime: 60 * minute,
		...options,
	});
	const request = (key = 'key', lifetime = 10 * minute): LedgerRequest => ({
		service: 'bookings',
		key,
		fingerprint: 'fingerprint',
		expiry: origin + lifetime,
	});
	return {
		ledger,
		request,
		clock,
		wall,
		wallTime: () => clock.date().getTime(),
	};
}

function finish(run: LedgerRun, end: string): void {
	switch (end) {
		case 'answered': {
			run.answered(answerOf('0123456789'));

			break;
		}

		case 'unknown': {
			run.unknown(createRefusal(ErrorCode.AnswerLost));

			break;
		}

		case 'notRun': {
			run.notRun(createProof(), createRefusal(ErrorCode.Overloaded));

			break;
		}
		// No default
	}
}

function createProof(): NotRunProof {
	return createHandOverTicket().revoke()._unsafeUnwrap();
}

function answerOf(text: string): Answer {
	return {status: 200, headers: {}, body: new TextEncoder().encode(text)};
}

function runOf(decision: LedgerDecision): LedgerRun {
	if (decision.kind !== 'run') {
		throw new Error(`expected a run, got ${JSON.stringify(decision)}`);
	}

	return decision.run;
}

function outcomeOf(decision: LedgerDecision): Outcome {
	if (decision.kind !== 'settled') {
		throw new Error(`expected a settled outcome, got ${decision.kind}`);
	}

	return decision.outcome;
}

function codeOf(decision: LedgerDecision): ErrorCode | undefined {
	const outcome = outcomeOf(decision);
	return outcome.kind === 'answered' ? undefined : outcome.refusal.code;
}
