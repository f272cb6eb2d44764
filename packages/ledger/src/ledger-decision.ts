/** What the ledger says about one attempt, and the means to settle it. */
import type {Answer, NotRunProof, Outcome, Refusal} from '@egretspoke/protocol';

/** One attempt at a non-idempotent request, as it reaches its home. */
export type LedgerRequest = {
	/** Keys of different services don't meet. */
	service: string;
	key: string;
	/** From `fingerprintRequest`. */
	fingerprint: string;
	/** When the key expires, in milliseconds since 1970. */
	expiry?: number;
};

/**
 * Settles the one run of a key. Settling twice is harmless: a later certain
 * end replaces `unknown`, and nothing replaces a certain end.
 */
export type LedgerRun = {
	/** Milliseconds since 1970, after which the request must not be handed over. */
	expiry: number;
	/** True once the key has expired on either clock. */
	isExpired(): boolean;
	/** Frees the key for a later attempt. The proof says that no target ran it. */
	notRun(proof: NotRunProof, refusal: Refusal): void;
	/** Records the answer for repeats. */
	answered(answer: Answer): void;
	/** Records that the request may have run; no attempt is ever made again. */
	unknown(refusal: Refusal): void;
};

/** What the ledger decides about an attempt. */
export type LedgerDecision =
	/** The first attempt: its holder dispatches, and nobody else. */
	| {kind: 'run'; run: LedgerRun}
	/** An earlier attempt is in progress; resolves when that one is settled. */
	| {kind: 'stillRunning'; settled: Promise<Outcome>}
	/** The end of an earlier attempt, or a refusal. */
	| {kind: 'settled'; outcome: Outcome};

/** What a ledger holds at the moment. */
export type LedgerSize = {
	keys: number;
	running: number;
	/** Bytes of the recorded answers. */
	answerBytes: number;
};

/** The memory of one home; it lives and ends with the node's incarnation. */
export type Ledger = {
	begin(request: LedgerRequest): LedgerDecision;
	/**
	 * True when the request may have run here or may be about to: its key is held,
	 * or has expired and may be forgotten. False proves that it has not run.
	 */
	mayHaveRun(request: Omit<LedgerRequest, 'fingerprint'>): boolean;
	size(): LedgerSize;
};
