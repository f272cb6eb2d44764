/**
 * A hand-over ticket that checks the deadline immediately before the hand-over.
 * Failure without it: a node is frozen while it holds a request, its caller
 * receives that the deadline passed, and the node resumes and dispatches. A
 * booking appears minutes after it was reported as failed. Timers that expired
 * during the freeze may run after the dispatch, so the clock itself is read.
 */
import {
	createHandOverTicket,
	createRefusal,
	ErrorCode,
	type HandOverTicket,
	type Refusal,
} from '@egretspoke/protocol';
import type {Clock} from '@egretspoke/shared';

/** Limits after which a ticket can no longer be handed over. */
export type TicketLimits = {
	clock: Clock;
	/** In milliseconds on the monotonic clock. */
	deadline: number;
	/** Aborted when the caller has disconnected. */
	signal?: AbortSignal | undefined;
	/** Returns true once the key has expired; absent for a request without a key. */
	isExpired?: (() => boolean) | undefined;
};

/** A ticket with the reason that prevents its hand-over. */
export type AttemptTicket = HandOverTicket & {
	/** Returns the refusal that prevents the hand-over; undefined when there is none. */
	obstacle(): Refusal | undefined;
};

/** Creates a ticket that cannot be handed over once one of its limits is reached. */
export function createAttemptTicket(limits: TicketLimits): AttemptTicket {
	const ticket = createHandOverTicket();
	const obstacle = () => findObstacle(limits);
	return {
		...ticket,
		obstacle,
		handOver() {
			if (obstacle()) {
				ticket.revoke();
				return false;
			}

			return ticket.handOver();
		},
	};
}

function findObstacle(limits: TicketLimits): Refusal | undefined {
	const {clock, deadline, signal, isExpired} = limits;
	if (signal?.aborted) {
		return createRefusal(ErrorCode.CallerGone);
	}

	if (clock.now() >= deadline) {
		return createRefusal(ErrorCode.DeadlinePassed);
	}

	return isExpired?.() ? createRefusal(ErrorCode.KeyExpired) : undefined;
}
