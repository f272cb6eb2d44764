/** Handles one request of a caller whose body has been read, or could not be. */
import type {IncomingMessage} from 'node:http';
import {
	createRefusal,
	createUnknownOutcome,
	ErrorCode,
} from '@egretspoke/protocol';
import type {CallerEntry, CallerOutcome} from './caller-request.js';
import {readCallerRequest} from './caller-request-reader.js';
import {refuseAsNotRun} from './entry-refusal.js';
import type {NodeReporter} from './node-reporter.js';
import type {BodyFault} from './request-body.js';

/** Why a request is refused before it is passed on. */
export type AcceptanceFault = BodyFault | 'noHost';

/** Dependencies of the handler. */
export type CallerHandlerOptions = {
	entry: CallerEntry;
	reporter: NodeReporter;
};

/** The handler; both functions always return an outcome. */
export type CallerHandler = {
	/** Passes the request on; the signal aborts when the caller has gone. */
	handle(
		request: IncomingMessage,
		body: Uint8Array,
		signal: AbortSignal,
	): Promise<CallerOutcome>;
	/** Refuses a request that wasn't accepted. */
	refuse(request: IncomingMessage, fault: AcceptanceFault): CallerOutcome;
};

/**
 * Retry-After in milliseconds for an upload that doesn't fit into the body
 * budget; most bodies have been released by then.
 */
const bufferFullRetryAfterMs = 1000;

type AcceptanceRefusal = {
	code: ErrorCode;
	retryAfter?: number;
	/** True for a fault of the node, which an earlier attempt at the same key needn't have met. */
	isOfNode?: true;
};

const refusals: Record<AcceptanceFault, AcceptanceRefusal> = {
	tooLarge: {code: ErrorCode.TooLarge},
	cutShort: {code: ErrorCode.MalformedRequest},
	noHost: {code: ErrorCode.MalformedRequest},
	noRoom: {
		code: ErrorCode.Overloaded,
		retryAfter: bufferFullRetryAfterMs,
		isOfNode: true,
	},
	// Another node can serve it immediately.
	stopped: {code: ErrorCode.Leaving, retryAfter: 0, isOfNode: true},
};

const empty = new Uint8Array(0);

/** Creates the handler. */
export function createCallerHandler({
	entry,
	reporter,
}: CallerHandlerOptions): CallerHandler {
	const refuseHeaders = (faults: string[]): CallerOutcome => {
		reporter.recordEvent({name: 'malformedRequest', fault: 'header'});
		const detail = faults.join('; ');
		return {
			request: 'none',
			outcome: refuseAsNotRun(ErrorCode.MalformedRequest, undefined, detail),
		};
	};

	return {
		async handle(request, body, signal) {
			const incoming = readCallerRequest(request, body);
			if (incoming.isErr()) {
				return refuseHeaders(incoming.error);
			}

			try {
				return await entry.handle(incoming.value, signal);
			} catch (error) {
				// The request may have been handed over before the error.
				return {
					request: incoming.value.id ?? 'none',
					outcome: createUnknownOutcome(
						createRefusal(ErrorCode.Internal, {detail: String(error)}),
					),
				};
			}
		},
		refuse(request, fault) {
			const {code, retryAfter, isOfNode} = refusals[fault];
			if (fault !== 'stopped') {
				reporter.recordEvent({name: 'malformedRequest', fault});
			}

			if (!isOfNode) {
				return {request: 'none', outcome: refuseAsNotRun(code, retryAfter)};
			}

			return readCallerRequest(request, empty).match(
				(incoming) => entry.refuse(incoming, code, retryAfter),
				refuseHeaders,
			);
		},
	};
}
