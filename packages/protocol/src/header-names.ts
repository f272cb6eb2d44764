/** The HTTP headers between callers, targets and nodes, in lower case. */
export const headerNames = {
	/** The service that the request is for. */
	service: 'egretspoke-service',
	/** The request's id along the whole chain; generated at the first entry node. */
	request: 'egretspoke-request',
	/** Milliseconds left until the deadline of the caller. */
	deadline: 'egretspoke-deadline',
	/** Attempts left for the whole chain below. */
	attempts: 'egretspoke-attempts',
	/** The request class that the first entry node assigned. */
	requestClass: 'egretspoke-class',
	/** The caller: the name of a client or the calling service. */
	caller: 'egretspoke-caller',
	/** The home of a key: `<node>@<incarnation>`. */
	home: 'egretspoke-home',
	/** When a key expires, in milliseconds since 1970; a 428 answer proposes a value. */
	keyExpiry: 'egretspoke-key-expiry',
	/** In answers: `answered`, `not-run` or `unknown`. */
	outcome: 'egretspoke-outcome',
	/** In answers: the number and name of the error code. */
	error: 'egretspoke-error',
	/** In answers: Retry-After in milliseconds. */
	retryAfter: 'egretspoke-retry-after',
	/** From a target: `not-run` on a refusal that it certifies. */
	shed: 'egretspoke-shed',
	idempotencyKey: 'idempotency-key',
	standardRetryAfter: 'retry-after',
} as const;
