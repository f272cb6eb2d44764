/** A request as received from a caller, before any decision. */
import type {
	ErrorCode,
	Home,
	Outcome,
	RequestClass,
} from '@egretspoke/protocol';

/** A request that the caller listener has read from HTTP. */
export type CallerRequest = {
	/** Present on a downstream call: the request it belongs to. */
	id?: string;
	service: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body: Uint8Array;
	caller: string;
	/** Milliseconds left; absent when the caller of a first entry states none. */
	timeLeft?: number;
	/** Attempts left for the chain; absent at a first entry. */
	attempts?: number;
	/** Present on a downstream call; never raised there. */
	requestClass?: RequestClass;
	key?: string;
	/** Milliseconds since 1970. */
	keyExpiry?: number;
	home?: Home;
};

/** The outcome of a caller's request, with the values of the answer's headers. */
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

/** The interface of the core for callers, used by the HTTP listener and by tests. */
export type CallerEntry = {
	/** Always resolves; the signal aborts when the caller has gone. */
	handle(request: CallerRequest, signal: AbortSignal): Promise<CallerOutcome>;
	/** Refuses a request without running it: as "not run", or as "unknown" if an earlier attempt at its key may have run. */
	refuse(
		request: CallerRequest,
		code: ErrorCode,
		retryAfter?: number,
	): CallerOutcome;
};
