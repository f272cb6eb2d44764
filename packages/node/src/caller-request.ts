/** A request as it comes in from a caller, before anything is decided. */
import type {Home, Outcome, RequestClass} from '@egretspoke/protocol';

/** What the caller listener makes of an HTTP request. */
export type CallerRequest = {
	/** Present on a request from deeper in a chain. */
	id?: string;
	service: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body: Uint8Array;
	caller: string;
	/** Milliseconds left; absent for a first entry that states none. */
	timeLeft?: number;
	/** Attempts left for the chain; absent at a first entry. */
	attempts?: number;
	/** Present on a request from deeper in a chain; never raised there. */
	requestClass?: RequestClass;
	key?: string;
	/** Milliseconds since 1970. */
	keyExpiry?: number;
	home?: Home;
};

/** The end of a caller's request, with what the answer's headers tell. */
export type CallerOutcome = {
	request: string;
	outcome: Outcome;
	/** The home that a non-idempotent request should name. */
	home?: Home;
	/** The expiry that its key should have, in milliseconds since 1970. */
	keyExpiry?: number;
	/** The node that ran it, when one did. */
	ranAt?: string;
};

/** The door of the node's core; the HTTP listener and the tests both use it. */
export type CallerEntry = {
	/** Resolves always, and exactly once; the signal tells that the caller has gone. */
	handle(request: CallerRequest, signal: AbortSignal): Promise<CallerOutcome>;
};
