/**
 * What a request is within its chain: made anew at a first entry, or drawn
 * from the request that the node's own target is running.
 */
import {createHash, randomUUID} from 'node:crypto';
import {
	createRefusal,
	ErrorCode,
	type CallRequest,
	type Refusal,
	type RequestClass,
} from '@egretspoke/protocol';
import {err, ok, type Result} from 'neverthrow';
import type {CallerRequest} from './caller-request.js';
import {readOperation} from './call-facts.js';
import type {ChainAllocation, RunningRequests} from './running-requests.js';

/** What the configuration in force says of a request. */
export type Classification = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** Milliseconds for the whole chain. */
	deadline: number;
	/** Attempts for the whole chain. */
	attempts: number;
};

/** A request as the entry node carries it. */
export type EntryCall = {
	request: CallRequest;
	operation: string;
	/** Monotonic milliseconds. */
	deadline: number;
	/** Present when the node's own target made the call. */
	allocation?: ChainAllocation;
};

/**
 * Places a request in its chain, or says why its chain allows it nothing more.
 * The age is the time for which it may have waited to be read, in milliseconds.
 */
export function createEntryCall(
	incoming: CallerRequest,
	rules: Classification,
	running: RunningRequests,
	{now, age}: {now: number; age: number},
): Result<EntryCall, Refusal> {
	const arrivedAt = now - age;
	const operation = readOperation(incoming);
	const allocation =
		incoming.id === undefined
			? undefined
			: running.allocate(incoming.id, {
					service: incoming.service,
					operation: digestCall(incoming),
				});
	if (allocation === 'spent') {
		return err(createRefusal(ErrorCode.AttemptsSpent));
	}

	const timeLeft = Math.min(
		incoming.timeLeft ?? rules.deadline,
		rules.deadline,
		(allocation?.deadline ?? Number.POSITIVE_INFINITY) - arrivedAt,
	);
	const deadline = arrivedAt + timeLeft;
	if (deadline <= now) {
		return err(createRefusal(ErrorCode.DeadlinePassed));
	}

	const {method, path, headers, body, service, key, keyExpiry} = incoming;
	return ok({
		operation,
		deadline,
		...(allocation && {allocation}),
		request: {
			id: incoming.id ?? randomUUID(),
			service,
			method,
			path,
			headers,
			body,
			caller: allocation?.caller ?? incoming.caller,
			timeLeft: deadline - now,
			requestClass: allocation?.requestClass ?? rules.requestClass,
			attempts: allocation?.attempts ?? rules.attempts,
			idempotent: rules.idempotent,
			...(key !== undefined && {key}),
			...(keyExpiry !== undefined && {keyExpiry}),
		},
	});
}

/** Tells a repeat of a deeper call from another call of the same kind. */
function digestCall({method, path, key, body}: CallerRequest): string {
	const digest =
		body.length === 0 ? '' : createHash('sha1').update(body).digest('base64');
	return `${method} ${path} ${key ?? ''} ${digest}`;
}
