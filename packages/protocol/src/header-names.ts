/** The HTTP headers by which callers, targets and nodes talk, in lower case. */
export const headerNames = {
	/** The service that the request is for. */
	service: 'egretspoke-service',
	/** The request's id along the whole chain; made at the first entry. */
	request: 'egretspoke-request',
	/** Milliseconds left until the caller gives up. */
	deadline: 'egretspoke-deadline',
	/** Attempts left for the whole chain below. */
	attempts: 'egretspoke-attempts',
	/** The class stamped at the first entry. */
	requestClass: 'egretspoke-class',
	/** Who calls: a client's name or the calling service. */
	caller: 'egretspoke-caller',
	/** The node that remembers a key: `<node>@<incarnation>`. */
	home: 'egretspoke-home',
	/** When a key expires, in milliseconds since 1970; a 428 proposes one. */
	keyExpiry: 'egretspoke-key-expiry',
	/** In answers: `answered`, `not-run` or `unknown`. */
	outcome: 'egretspoke-outcome',
	/** In answers: the number and name of the error code. */
	error: 'egretspoke-error',
	/** In answers: Retry-After with the precision of a millisecond. */
	retryAfter: 'egretspoke-retry-after',
	/** From a target: `not-run` on a refusal that it certifies. */
	shed: 'egretspoke-shed',
	idempotencyKey: 'idempotency-key',
	standardRetryAfter: 'retry-after',
} as const;
