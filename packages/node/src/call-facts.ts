/** Derives the facts about a request on which the decisions are based. */
import type {CallFacts} from '@egretspoke/decisions';
import type {CallRequest} from '@egretspoke/protocol';

/** The facts of a request that arrives now. */
export function readFacts(request: CallRequest, now: number): CallFacts {
	return {
		id: request.id,
		service: request.service,
		requestClass: request.requestClass,
		caller: request.caller,
		operation: readOperation(request),
		deadline: now + request.timeLeft,
		attempts: request.attempts,
		idempotent: request.idempotent,
		chain: request.id,
		...(request.priority !== undefined && {priority: request.priority}),
	};
}

/**
 * Method and path without segments that look like identifiers, so that durations
 * are estimated per kind of request.
 */
export function readOperation({
	method,
	path,
}: Pick<CallRequest, 'method' | 'path'>): string {
	const [route = ''] = path.split('?', 1);
	return `${method} ${route.replaceAll(/\/[^/]*\d[^/]*/gu, '/*')}`;
}
