import {expect} from 'chai';
import {createLedger} from '@egretspoke/ledger';
import {
	acceptCertifiedRefusal,
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
	createNotRunOutcome,
	type Outcome,
} from '@egretspoke/protocol';
import {egretspokePolicy} from '@egretspoke/decisions';
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {createEntry} from '../src/entry.js';
import {silentReporter} from '../src/node-reporter.js';
import {createRunningRequests} from '../src/running-requests.js';
import {createLoneQuarantine} from './lone-quarantine.js';

const refusedElsewhere = createNotRunOutcome(
	acceptCertifiedRefusal('peer'),
	createRefusal(ErrorCode.Leaving, {retryAfter: 0}),
);
const lost = createUnknownOutcome(createRefusal(ErrorCode.AnswerLost));

/** An entry whose attempts end as listed, each at another target. */
function createEntryWith(
	ends: Outcome[],
	{idempotent = true, age = 0}: {idempotent?: boolean; age?: number} = {},
) {
	const clock = createVirtualClock();
	const sent: number[] = [];
	const entry = createEntry({
		clock,
		self: {node: 'vm-1', incarnation: 1},
		routing: {
			...egretspokePolicy.createRouting({
				dataCentre: 'a',
				random: createRandom(1),
			}),
			retry: (call) =>
				call.attempts > 1
					? {kind: 'retry', delay: 0, exclude: [], reason: 'test'}
					: {
							kind: 'refuse',
							code: ErrorCode.AttemptsSpent,
							reason: 'test',
							retryAfter: 50,
						},
		},
		async send(_request, facts, {ticket}) {
			sent.push(facts.attempts);
			ticket.handOver();
			const outcome = ends[sent.length - 1]!;
			const result = outcome.kind === 'answered' ? 'ok' : outcome.kind;
			return {
				outcome,
				given: 1,
				result: {node: `vm-${sent.length}`, duration: 1, result},
			};
		},
		ledger: createLedger({
			clock,
			capacity: 10,
			bytesCapacity: 1000,
			maximumLifetime: 60_000,
		}),
		running: createRunningRequests(),
		reporter: silentReporter,
		quarantine: createLoneQuarantine(clock),
		classify: () => ({
			requestClass: 'normal',
			idempotent,
			deadline: 1000,
			attempts: 3,
		}),
		keyLifetime: 60_000,
		possibleAge: () => age,
		priorityOf: () => undefined,
		passToHome: async () => ({outcome: lost}),
		refusalOf: () => undefined,
	});
	const ask = async (keyExpiry?: number) =>
		entry.handle(
			{
				...(keyExpiry !== undefined && {keyExpiry}),
				service: 's',
				method: 'GET',
				path: '/',
				headers: {},
				body: new Uint8Array(0),
				caller: 'c',
				key: 'k',
				home: {node: 'vm-1', incarnation: 1},
			},
			new AbortController().signal,
		);
	const soon = () => clock.date().getTime() + 30_000;
	return {ask, sent, soon};
}

describe('entry', () => {
	it('tries an idempotent request again after a lost answer', async () => {
		const answer = {status: 200, headers: {}, body: new Uint8Array(0)};
		const {ask, sent} = createEntryWith([lost, {kind: 'answered', answer}]);
		const {outcome} = await ask();
		expect(outcome.kind).to.equal('answered');
		expect(sent).to.deep.equal([3, 2]);
	});

	describe('with an answer lost before a refusal', () => {
		it('never says that the request was not run', async () => {
			// The first target runs the request and its answer is lost; the second
			// refuses it. A caller who is told "not run" by the second refusal
			// believes that nothing happened, and it did.
			const {ask} = createEntryWith([lost, refusedElsewhere, refusedElsewhere]);
			const {outcome} = await ask();
			expect(outcome.kind).to.equal('unknown');
		});

		it('makes no second attempt at a non-idempotent request', async () => {
			// The answer to a payment is lost. Another attempt would pay twice.
			const {ask, sent, soon} = createEntryWith([lost, lost], {
				idempotent: false,
			});
			const {outcome} = await ask(soon());
			expect(outcome.kind).to.equal('unknown');
			expect(sent).to.have.length(1);
		});
	});

	describe('of a node that was frozen', () => {
		// A VM wakes after two seconds with a request of one second in its socket.
		// Its caller has given up; without a look at the pause it would run.
		it('refuses what is older than its deadline', async () => {
			const {ask, sent} = createEntryWith([lost], {age: 2000});
			const {outcome} = await ask();
			expect(outcome).to.deep.include({kind: 'notRun'});
			expect(sent).to.have.length(0);
		});

		it('would run it if it counted as just sent', async () => {
			const {ask, sent} = createEntryWith([lost, lost, lost], {age: 0});
			await ask();
			expect(sent).not.to.have.length(0);
		});
	});

	it('runs no key without an expiry, and proposes one', async () => {
		// A boat owner's phone sends a payment whose key says no expiry, and
		// repeats it an hour later. A home can't remember keys for ever; one that
		// had forgotten this one would charge the payment again.
		const {ask, sent} = createEntryWith([lost], {idempotent: false});
		const {outcome, keyExpiry} = await ask();
		expect(outcome.kind).to.equal('notRun');
		expect(sent).to.have.length(0);
		const {outcome: second} = await ask(keyExpiry);
		expect(second.kind).to.equal('unknown');
		expect(sent).to.have.length(1);
	});

	it('makes no more attempts than the chain has', async () => {
		// Every target refuses. Without the bound the entry would go round for as
		// long as the deadline lasts.
		const ends = Array.from({length: 9}, () => refusedElsewhere);
		const {ask, sent} = createEntryWith(ends);
		const {outcome} = await ask();
		expect(outcome).to.deep.include({kind: 'notRun'});
		expect(sent).to.deep.equal([3, 2, 1]);
	});
});
