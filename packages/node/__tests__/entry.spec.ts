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
import {createLocalQuarantine} from './local-quarantine.js';

const refusedElsewhere = createNotRunOutcome(
	acceptCertifiedRefusal('peer'),
	createRefusal(ErrorCode.Leaving, {retryAfter: 0}),
);
const lost = createUnknownOutcome(createRefusal(ErrorCode.AnswerLost));

/** Creates an entry whose attempts have the listed outcomes, each at another target. */
function createEntryWith(
	attemptOutcomes: Outcome[],
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
			const outcome = attemptOutcomes[sent.length - 1]!;
			const result = outcome.kind === 'answered' ? 'ok' : outcome.kind;
			return {
				outcome,
				granted: 1,
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
		quarantine: createLocalQuarantine(clock),
		classify: () => ({
			requestClass: 'normal',
			idempotent,
			deadline: 1000,
			attempts: 3,
		}),
		keyLifetime: 60_000,
		maxMessageAge: () => age,
		priorityOf: () => undefined,
		forwardToHome: async () => ({outcome: lost}),
		getRefusalCode: () => undefined,
	});
	const handle = async (keyExpiry?: number) =>
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
	const getValidExpiry = () => clock.date().getTime() + 30_000;
	return {handle, sent, getValidExpiry};
}

describe('entry', () => {
	it('retries an idempotent request after a lost answer', async () => {
		const answer = {status: 200, headers: {}, body: new Uint8Array(0)};
		const {handle, sent} = createEntryWith([lost, {kind: 'answered', answer}]);
		const {outcome} = await handle();
		expect(outcome.kind).to.equal('answered');
		expect(sent).to.deep.equal([3, 2]);
	});

	describe('with an answer lost before a refusal', () => {
		it('never reports the request as not run', async () => {
			// The first target runs the request and its answer is lost; the second
			// refuses it. "Not run" because of the second refusal would tell the
			// caller that nothing happened, although the request ran.
			const {handle} = createEntryWith([
				lost,
				refusedElsewhere,
				refusedElsewhere,
			]);
			const {outcome} = await handle();
			expect(outcome.kind).to.equal('unknown');
		});

		it('makes no second attempt at a non-idempotent request', async () => {
			// The answer to a payment is lost. Another attempt would pay twice.
			const {handle, sent, getValidExpiry} = createEntryWith([lost, lost], {
				idempotent: false,
			});
			const {outcome} = await handle(getValidExpiry());
			expect(outcome.kind).to.equal('unknown');
			expect(sent).to.have.length(1);
		});
	});

	describe('of a node that was frozen', () => {
		// A VM resumes after two seconds with a request of one second in its
		// socket. Its caller has given up; without pause detection it would run.
		it('refuses a request that is older than its deadline', async () => {
			const {handle, sent} = createEntryWith([lost], {age: 2000});
			const {outcome} = await handle();
			expect(outcome).to.deep.include({kind: 'notRun'});
			expect(sent).to.have.length(0);
		});

		it('would run it if it were treated as just sent', async () => {
			const {handle, sent} = createEntryWith([lost, lost, lost], {age: 0});
			await handle();
			expect(sent).not.to.have.length(0);
		});
	});

	it('refuses a key without an expiry, and proposes one', async () => {
		// A boat owner's phone sends a payment whose key has no expiry, and repeats
		// it an hour later. A home can't store keys for ever; once it had dropped
		// this one, it would charge the payment again.
		const {handle, sent} = createEntryWith([lost], {idempotent: false});
		const {outcome, keyExpiry} = await handle();
		expect(outcome.kind).to.equal('notRun');
		expect(sent).to.have.length(0);
		const {outcome: second} = await handle(keyExpiry);
		expect(second.kind).to.equal('unknown');
		expect(sent).to.have.length(1);
	});

	it('makes at most the attempts of the chain', async () => {
		// Every target refuses. Without the bound the entry would keep trying until
		// the deadline.
		const attemptOutcomes = Array.from({length: 9}, () => refusedElsewhere);
		const {handle, sent} = createEntryWith(attemptOutcomes);
		const {outcome} = await handle();
		expect(outcome).to.deep.include({kind: 'notRun'});
		expect(sent).to.deep.equal([3, 2, 1]);
	});
});
