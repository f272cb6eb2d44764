/**
 * The node to which a client sends its requests, as the home of their
 * idempotency keys: it starts no second attempt of a key while one is running,
 * and repeats the outcome of one that has run. Without it, a client that times
 * out sends its payment again and both attempts run. The naive variant does not
 * track keys. The real ledger, with its expiry and its bounds, is a separate
 * package; a run is too short for either.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {Attempt, CallEnd, UserRequest} from './call.js';
import {routeCall} from './entry.js';
import type {Simulation} from './simulation.js';

/** The entry point for the clients of one place in the deployment. */
export type Home = {
	/** Handles a client's try; the returned function reports that the client disconnected. */
	handle(attempt: Attempt, done: (end: CallEnd) => void): () => void;
};

/** Retry-after time for a request that is still running, in milliseconds. */
const stillRunningRetryAfter = 250;

const stillRunning: CallEnd = {
	kind: 'unknown',
	code: ErrorCode.StillRunning,
	retryAfter: stillRunningRetryAfter,
};

/** Creates the home at a place. */
export function createHome(simulation: Simulation, place: number): Home {
	const recordedEnds = new Map<UserRequest, CallEnd>();
	const {variant} = simulation;

	return {
		handle(attempt, done) {
			const {call} = attempt;
			const node = simulation.nodes[place]!;
			const {request} = call;
			if (!variant.deduplicatesKeys || request.operation.idempotent) {
				return routeCall(simulation, node, {...call, parent: attempt}, done);
			}

			const recordedEnd = recordedEnds.get(request);
			if (recordedEnd) {
				done(recordedEnd);
				return () => undefined;
			}

			recordedEnds.set(request, stillRunning);
			return routeCall(simulation, node, {...call, parent: attempt}, (end) => {
				if (end.kind === 'notRun') {
					recordedEnds.delete(request);
				} else {
					recordedEnds.set(request, end);
				}

				done(end);
			});
		},
	};
}
