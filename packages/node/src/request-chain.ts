/**
 * Places a request in its chain: starts a new chain at a first entry, or derives
 * the request from the one that the local target is running.
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

/** The rules that the current configuration sets for a request. */
export type Classification = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** Milliseconds for the whole chain. */
	deadline: number;
	/** Attempts for the whole chain. */
	attempts: number;
};

/** A request as handled by the entry node. */
export type EntryCall = {
	request: CallRequest;
	operation: string;
	/** Monotonic milliseconds. */
	deadline: number;
	/** Present when the local target made the call. */
	allocation?: ChainAllocation;
};

/**
 * Places a request in its chain, or returns a refusal when the chain has no
 * attempts or no time left. The age is the time for which it may have waited to
 * be read, in milliseconds.
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

/** Distinguishes a repeat of a downstream call from another call of the same kind. */
function digestCall({method, path, key, body}: CallerRequest): string {
	const digest =
		body.length === 0 ? '' : createHash('sha1').update(body).digest('base64');
	return `${method} ${path} ${key ?? ''} ${digest}`;
}
