/** Requests and header names for specs of the target client. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {HeaderNames} from '../src/configuration/header-names.js';
import type {ForwardedRequest} from '../src/links/exchange.js';

export const targetHeaderNames: HeaderNames = {
	requestId: 'request-id',
	timeLeft: 'time-left',
	expectedTarget: 'expected-target',
	callerService: 'from-service',
	workspaceKey: 'workspace-key',
	workspace: 'workspace',
	signature: 'signed',
	notExecuted: 'not-run',
	rateLimit: 'rate',
	leaving: 'is-leaving',
};

/** Creates a request of a caller to the target. */
export function createTargetRequest(
	requestId: string,
	changes: Partial<ForwardedRequest> = {},
): ForwardedRequest {
	return {
		requestId,
		method: 'GET',
		path: '/work?x=1',
		headers: ['Host', 'shop.example', 'Request-Id', requestId],
		body: undefined,
		route: 'route',
		service: 'service',
		isIdempotent: true,
		isInner: false,
		isNearCompletion: true,
		repeatShare: 0,
		crashes: 0,
		priority: 0,
		maxWait: 0,
		timeLeft: 1000,
		...changes,
	};
}

/** Lets the event loop turn until the condition holds; the test's own timeout is the only limit. */
export async function waitForTurn(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one turn after the other.
		await nextTurn();
	}
}
