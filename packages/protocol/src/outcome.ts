/**
 * The three outcomes of a request. Failure that the types prevent: code that has
 * already handed a request over to a target reports `notRun` because its wait
 * timed out, the caller repeats a payment, and it runs twice (two rows for one
 * order). Here `notRun` requires a proof, which is issued only by a ticket that
 * was not handed over or for a certified refusal.
 */
import {err, ok, type Result} from 'neverthrow';
import {errorMessages, type ErrorCode} from './error-code.js';

declare const proofBrand: unique symbol;

/** Evidence that no target ran the request. */
export type NotRunProof = {readonly [proofBrand]: true};

/** A complete answer of a target. */
export type Answer = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
};

/** The reason why there is no answer, and when to retry. */
export type Refusal = {
	code: ErrorCode;
	/** One sentence for a human reader. */
	detail: string;
	/** Milliseconds after which a retry may succeed; absent when a retry cannot succeed. */
	retryAfter?: number;
};

/** How a request ended. */
export type Outcome =
	| {kind: 'answered'; answer: Answer; repeated?: boolean}
	| {kind: 'notRun'; proof: NotRunProof; refusal: Refusal}
	| {kind: 'unknown'; refusal: Refusal};

/**
 * The right to hand over one request to one target, once. Code that cancels or
 * refuses the request must revoke the ticket first; code that dispatches it must
 * call `handOver` first.
 */
export type HandOverTicket = {
	/** Uses the ticket for a dispatch; false when it was already used or revoked. */
	handOver(): boolean;
	/** Permanently prevents the dispatch; an error once the request was handed over. */
	revoke(): Result<NotRunProof, 'handedOver'>;
	state(): 'held' | 'handedOver' | 'revoked';
};

/** Creates a ticket that is neither handed over nor revoked. */
export function createHandOverTicket(): HandOverTicket {
	let state: 'held' | 'handedOver' | 'revoked' = 'held';
	return {
		handOver() {
			if (state !== 'held') {
				return false;
			}

			state = 'handedOver';
			return true;
		},
		revoke() {
			if (state === 'handedOver') {
				return err('handedOver');
			}

			state = 'revoked';
			return ok(proof);
		},
		state: () => state,
	};
}

/**
 * Returns the proof for a certified refusal: a `notRun` message of a peer, a
 * refusal by which a target certifies that it did not run the request, or a
 * refused connection.
 */
export function acceptCertifiedRefusal(
	_source: 'peer' | 'target' | 'connectRefused',
): NotRunProof {
	return proof;
}

/** Creates a refusal, by default with the message of its code. */
export function createRefusal(
	code: ErrorCode,
	options: {retryAfter?: number; detail?: string} = {},
): Refusal {
	const {retryAfter, detail} = options;
	return {
		code,
		detail: detail ?? errorMessages[code].message,
		...(retryAfter === undefined ? {} : {retryAfter}),
	};
}

/** Creates the outcome of a request that was not run. */
export function createNotRunOutcome(
	proof: NotRunProof,
	refusal: Refusal,
): Outcome {
	return {kind: 'notRun', proof, refusal};
}

/** Creates the outcome of a request that may have run. */
export function createUnknownOutcome(refusal: Refusal): Outcome {
	return {kind: 'unknown', refusal};
}

const proof = Object.freeze({}) as NotRunProof;
