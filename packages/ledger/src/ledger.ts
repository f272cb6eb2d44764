/**
 * The ledger of a home: records for each key whether its request was started
 * here and how it ended. Failure without it: a client loses the answer to a
 * payment and retries, and the payment runs twice (two rows for one order). All
 * attempts at a key reach the same home, and its ledger lets exactly one of them
 * dispatch. An entry is removed only by a proof that the request did not run, or
 * once its key has expired on both clocks; from then on the key is refused, so
 * that the removal cannot allow a second run.
 */
import {
	createHandOverTicket,
	createRefusal,
	createUnknownOutcome,
	ErrorCode,
	createNotRunOutcome,
	type Answer,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';
import {createAnswerStore} from './answer-store.js';
import {createExpiryIndex, type Expiring} from './expiry-index.js';
import type {
	Ledger,
	LedgerDecision,
	LedgerRequest,
	LedgerRun,
} from './ledger-decision.js';

/** Options of a ledger; durations in milliseconds. */
export type LedgerOptions = {
	clock: Clock;
	/** Maximum number of keys. */
	capacity: number;
	/** Maximum bytes of recorded answers. */
	bytesCapacity: number;
	/** A key that expires later than this from now is refused. */
	maximumLifetime: number;
	/**
	 * The lifetime of a key without an expiry, from its first attempt. The
	 * at-most-once guarantee ends with it, because a later repeat cannot be
	 * distinguished from a new key. When absent, such keys are refused.
	 */
	defaultLifetime?: number;
	/** Maximum number of repeats that wait for one running request; 32 when absent. */
	waitersCapacity?: number;
};

type Settlement =
	| {kind: 'running'}
	| {kind: 'freed'}
	| {kind: 'answered'}
	| {kind: 'unknown'; refusal: Refusal};

type Entry = Expiring & {
	id: string;
	fingerprint: string;
	settlement: Settlement;
	waiters: Array<(outcome: Outcome) => void>;
};

const defaultWaitersCapacity = 32;
/** Milliseconds after which a caller is advised to repeat a request that is still running. */
const stillRunningRetryAfter = 1000;

/** Creates an empty ledger. */
export function createLedger(options: LedgerOptions): Ledger {
	const {clock, capacity, waitersCapacity = defaultWaitersCapacity} = options;
	const entries = new Map<string, Entry>();
	const answers = createAnswerStore(options.bytesCapacity);
	const expiries = createExpiryIndex<Entry>(clock, (entry) => {
		entries.delete(entry.id);
		answers.remove(entry.id);
		running -= entry.settlement.kind === 'running' ? 1 : 0;
	});
	let running = 0;

	const settle = (entry: Entry, settlement: Settlement, outcome: Outcome) => {
		running -= entry.settlement.kind === 'running' ? 1 : 0;
		entry.settlement = settlement;
		notify(entry, outcome);
	};

	const createRun = (entry: Entry): LedgerRun => ({
		expiry: entry.expiry,
		isExpired: () => expiries.isExpired(entry),
		notRun(proof, refusal) {
			if (entry.settlement.kind === 'answered' || !isCurrent(entries, entry)) {
				return;
			}

			entries.delete(entry.id);
			expiries.remove(entry);
			settle(entry, {kind: 'freed'}, createNotRunOutcome(proof, refusal));
		},
		answered(answer) {
			if (entry.settlement.kind === 'answered' || !isCurrent(entries, entry)) {
				return;
			}

			answers.add(entry.id, answer);
			settle(entry, {kind: 'answered'}, repeatAnswer(answer));
		},
		unknown(refusal) {
			if (entry.settlement.kind === 'running' && isCurrent(entries, entry)) {
				settle(
					entry,
					{kind: 'unknown', refusal},
					createUnknownOutcome(refusal),
				);
			}
		},
	});

	const start = (id: string, request: LedgerRequest): LedgerDecision => {
		const refused = refuseNewKey(request, expiries.wallTime(), options);
		if (refused) {
			return {kind: 'settled', outcome: refused};
		}

		const expiry =
			request.expiry ?? expiries.wallTime() + options.defaultLifetime!;
		if (expiries.hasPassed(expiry)) {
			return {kind: 'settled', outcome: createExpiredOutcome()};
		}

		if (entries.size >= capacity) {
			return {
				kind: 'settled',
				outcome: createFullOutcome(expiries.untilNextExpiry()),
			};
		}

		const entry: Entry = {
			id,
			fingerprint: request.fingerprint,
			expiry,
			expiresAt: clock.now() + (expiry - expiries.wallTime()),
			settlement: {kind: 'running'},
			waiters: [],
		};
		entries.set(id, entry);
		expiries.add(entry);
		running++;
		return {kind: 'run', run: createRun(entry)};
	};

	const repeat = (entry: Entry): LedgerDecision => {
		const {settlement} = entry;
		if (settlement.kind === 'unknown') {
			return {
				kind: 'settled',
				outcome: createUnknownOutcome(settlement.refusal),
			};
		}

		if (settlement.kind === 'answered') {
			const answer = answers.get(entry.id);
			return {
				kind: 'settled',
				outcome: answer
					? repeatAnswer(answer)
					: createUnknownOutcome(createRefusal(ErrorCode.OutcomeForgotten)),
			};
		}

		if (entry.waiters.length >= waitersCapacity) {
			return {kind: 'settled', outcome: createStillRunningOutcome()};
		}

		return {
			kind: 'stillRunning',
			settled: new Promise((resolve) => {
				entry.waiters.push(resolve);
			}),
		};
	};

	return {
		begin(request) {
			expiries.sweep();
			const id = identify(request.service, request.key);
			const entry = entries.get(id);
			if (!entry) {
				return start(id, request);
			}

			const mismatch = refuseMismatch(entry, request);
			if (mismatch) {
				return {kind: 'settled', outcome: mismatch};
			}

			return expiries.isExpired(entry)
				? {kind: 'settled', outcome: createExpiredOutcome()}
				: repeat(entry);
		},
		mayHaveRun: ({service, key, expiry}) =>
			entries.has(identify(service, key)) ||
			(expiry !== undefined && expiries.hasPassed(expiry)),
		size: () => ({
			keys: entries.size,
			running,
			answerBytes: answers.bytes(),
		}),
	};
}

/** Creates the outcome of a repeat that cannot wait any longer for the first attempt. */
export function createStillRunningOutcome(): Outcome {
	return createUnknownOutcome(
		createRefusal(ErrorCode.StillRunning, {retryAfter: stillRunningRetryAfter}),
	);
}

/** Creates the outcome of an attempt that was refused before it left this process. */
export function refuseUnsent(refusal: Refusal): Outcome {
	const proof = createHandOverTicket().revoke();
	return proof.isOk()
		? createNotRunOutcome(proof.value, refusal)
		: createUnknownOutcome(refusal);
}

function identify(service: string, key: string): string {
	return JSON.stringify([service, key]);
}

function refuseNewKey(
	request: LedgerRequest,
	wallTime: number,
	options: LedgerOptions,
): Outcome | undefined {
	if (request.expiry === undefined) {
		return options.defaultLifetime === undefined
			? refuseUnsent(createRefusal(ErrorCode.KeyExpiryRequired))
			: undefined;
	}

	return request.expiry - wallTime > options.maximumLifetime
		? refuseUnsent(createRefusal(ErrorCode.KeyExpiryTooFar))
		: undefined;
}

/**
 * Refuses a key that was first used for another request, or with another expiry:
 * the entry could be removed while the later expiry still admits a repeat.
 * Neither outcome is "not run", because a caller that serializes its body again
 * for a repeat, with the fields in another order, refers to the request that ran.
 */
function refuseMismatch(
	entry: Entry,
	request: LedgerRequest,
): Outcome | undefined {
	if (request.fingerprint !== entry.fingerprint) {
		return createUnknownOutcome(createRefusal(ErrorCode.KeyReused));
	}

	return request.expiry === undefined || request.expiry === entry.expiry
		? undefined
		: createUnknownOutcome(
				createRefusal(ErrorCode.KeyReused, {
					detail: 'the idempotency key was first sent with another expiry',
				}),
			);
}

function createExpiredOutcome(): Outcome {
	return createUnknownOutcome(createRefusal(ErrorCode.KeyExpired));
}

function createFullOutcome(retryAfter: number): Outcome {
	return refuseUnsent(createRefusal(ErrorCode.LedgerFull, {retryAfter}));
}

function repeatAnswer(answer: Answer): Outcome {
	return {kind: 'answered', answer, repeated: true};
}

function isCurrent(entries: Map<string, Entry>, entry: Entry): boolean {
	return entries.get(entry.id) === entry;
}

function notify(entry: Entry, outcome: Outcome): void {
	for (const resolve of entry.waiters.splice(0)) {
		resolve(outcome);
	}
}
