/**
 * A hand-over ticket that looks at the clock at the last moment. What goes
 * wrong without it: a node is frozen while it holds a request, its caller is
 * told that the deadline passed, and the node wakes and dispatches. One notices
 * a booking that appears minutes after it was given up. Timers that came due
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

/** What ends the right to hand over. */
export type TicketLimits = {
	clock: Clock;
	/** On the monotonic clock. */
	deadline: number;
	/** Aborted when the caller has gone. */
	signal?: AbortSignal | undefined;
	/** True once the key has expired; absent for a request without a key. */
	isExpired?: (() => boolean) | undefined;
};

/** A ticket with the reason for which it was refused at the hand-over. */
export type AttemptTicket = HandOverTicket & {
	/** Undefined while nothing speaks against the hand-over. */
	obstacle(): Refusal | undefined;
};

/** Creates a ticket that can't be handed over past its limits. */
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
