/**
 * The three ways a request can end. What goes wrong without the types: code
 * that has already handed a request to a target says "not run" because its
 * wait timed out, the caller repeats a payment, and it runs twice. One notices
 * two rows for one order. Here `notRun` can only be built from a proof, and a
 * proof is only given out by a ticket that has not been handed over.
 */
import {err, ok, type Result} from 'neverthrow';
import {errorMessages, type ErrorCode} from './error-code.js';

declare const proofBrand: unique symbol;

/** Evidence that no target has been given the request. */
export type NotRunProof = {readonly [proofBrand]: true};

/** A whole answer of a target. */
export type Answer = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
};

/** Why there is no answer, and when to come back. */
export type Refusal = {
	code: ErrorCode;
	/** One sentence for the person who reads it. */
	detail: string;
	/** Milliseconds after which another try may do better; absent when it won't. */
	retryAfter?: number;
};

/** How a request ended. */
export type Outcome =
	| {kind: 'answered'; answer: Answer; repeated?: boolean}
	| {kind: 'notRun'; proof: NotRunProof; refusal: Refusal}
	| {kind: 'unknown'; refusal: Refusal};

/**
 * The right to hand one request to one target, once. Whoever cancels or
 * refuses must win the ticket first; whoever dispatches must take it first.
 */
export type HandOverTicket = {
	/** Takes the ticket for a dispatch; false when it was surrendered before. */
	handOver(): boolean;
	/** Gives up the dispatch for good; fails once the request was handed over. */
	revoke(): Result<NotRunProof, 'handedOver'>;
	state(): 'held' | 'handedOver' | 'revoked';
};

/** Creates a ticket that is still held. */
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
 * The proof that another party gives: a node's `notRun` frame, or a target's
 * refusal that certifies by its protocol that nothing ran.
 */
export function acceptCertifiedRefusal(
	_source: 'peer' | 'target' | 'connectRefused',
): NotRunProof {
	return proof;
}

/** Builds a refusal with the message of its code. */
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

/** Says that the request was not run. */
export function createNotRunOutcome(
	proof: NotRunProof,
	refusal: Refusal,
): Outcome {
	return {kind: 'notRun', proof, refusal};
}

/** Says that nobody here knows whether the request ran. */
export function createUnknownOutcome(refusal: Refusal): Outcome {
	return {kind: 'unknown', refusal};
}

const proof = Object.freeze({}) as NotRunProof;
