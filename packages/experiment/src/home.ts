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
import {enter} from './entry.js';
import type {World} from './world.js';

/** The door of one place in the deployment. */
export type Home = {
	/** Takes a client's try; the returned function tells that the client has gone. */
	handle(attempt: Attempt, done: (end: CallEnd) => void): () => void;
};

/** Milliseconds after which a client may ask again for a request that is running. */
const stillRunningRetry = 250;

const stillRunning: CallEnd = {
	kind: 'unknown',
	code: ErrorCode.StillRunning,
	retryAfter: stillRunningRetry,
};

/** Creates the door of the node at a place. */
export function createHome(world: World, place: number): Home {
	const known = new Map<UserRequest, CallEnd>();
	const {contender} = world;

	return {
		handle(attempt, done) {
			const {call} = attempt;
			const node = world.nodes[place]!;
			const {request} = call;
			if (!contender.remembersKeys || request.operation.idempotent) {
				return enter(world, node, {...call, parent: attempt}, done);
			}

			const earlier = known.get(request);
			if (earlier) {
				done(earlier);
				return () => undefined;
			}

			known.set(request, stillRunning);
			return enter(world, node, {...call, parent: attempt}, (end) => {
				if (end.kind === 'notRun') {
					known.delete(request);
				} else {
					known.set(request, end);
				}

				done(end);
			});
		},
	};
}
