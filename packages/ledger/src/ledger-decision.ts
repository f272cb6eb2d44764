/** The decision of the ledger about one attempt, and the functions that settle it. */
import type {Answer, NotRunProof, Outcome, Refusal} from '@egretspoke/protocol';

/** One attempt at a non-idempotent request at the home of its key. */
export type LedgerRequest = {
	/** Keys of different services are independent. */
	service: string;
	key: string;
	/** From `fingerprintRequest`. */
	fingerprint: string;
	/** When the key expires, in milliseconds since 1970. */
	expiry?: number;
};

/**
 * Settles the only run of a key. It may be settled more than once: a later
 * definite outcome replaces `unknown`, and a definite outcome is never replaced.
 */
export type LedgerRun = {
	/** Milliseconds since 1970, after which the request must not be handed over. */
	expiry: number;
	/** Returns true once the key has expired on either clock. */
	isExpired(): boolean;
	/** Releases the key for a later attempt; requires a proof that no target ran the request. */
	notRun(proof: NotRunProof, refusal: Refusal): void;
	/** Records the answer for repeats. */
	answered(answer: Answer): void;
	/** Records that the request may have run; no further attempt is made. */
	unknown(refusal: Refusal): void;
};

/** How to handle an attempt. */
export type LedgerDecision =
	/** The first attempt: only the caller that receives this may dispatch. */
	| {kind: 'run'; run: LedgerRun}
	/** An earlier attempt is running; `settled` resolves with its outcome. */
	| {kind: 'stillRunning'; settled: Promise<Outcome>}
	/** The outcome of an earlier attempt, or a refusal. */
	| {kind: 'settled'; outcome: Outcome};

/** The current size of a ledger. */
export type LedgerSize = {
	keys: number;
	running: number;
	/** Bytes of the recorded answers. */
	answerBytes: number;
};

/** The ledger of one home; it exists for one incarnation of the node. */
export type Ledger = {
	/** Decides about an attempt, and adds an entry for a new key. */
	begin(request: LedgerRequest): LedgerDecision;
	/**
	 * Returns true when the request may have run here or may still run: its key is
	 * stored, or has expired and may have been removed. False proves that it has
	 * not run.
	 */
	mayHaveRun(request: Omit<LedgerRequest, 'fingerprint'>): boolean;
	size(): LedgerSize;
};
