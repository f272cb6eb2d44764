/**
 * The node that a client speaks to, as the home of its requests' keys: while
 * an attempt of a key is running it starts no other, and it repeats the answer
 * of one that has run. What goes wrong without it: a client that waited in
 * vain sends its payment again, and both run. The naive version has no such
 * memory. The real ledger, with its expiry and its bounds, is a package of its
 * own; the run is too short for either.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {Attempt, CallEnd, UserRequest} from './call.js';
import {routeCall} from './entry.js';
import type {Simulation} from './simulation.js';

/** The door of one place in the deployment. */
export type Home = {
	/** Takes a client's try; the returned function tells that the client has gone. */
	handle(attempt: Attempt, done: (end: CallEnd) => void): () => void;
};

/** Milliseconds after which a client may ask again for a request that is running. */
const stillRunningRetryAfter = 250;

const stillRunning: CallEnd = {
	kind: 'unknown',
	code: ErrorCode.StillRunning,
	retryAfter: stillRunningRetryAfter,
};

/** Creates the door of the node at a place. */
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
