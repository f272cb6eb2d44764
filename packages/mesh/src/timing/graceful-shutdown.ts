/** Determines how a stopping node ends: until when it accepts work, and how long it keeps running. */
import type {Clock} from '@egretspoke/shared';

/** The instants of a planned stop, on the clock. */
export type StopSchedule = {
	/** The local target accepts requests that have no other target until then. */
	targetAcceptsUntil: number;
	/** Callers' new requests are accepted until then; those that are arriving, until `receiveUntil`. */
	acceptUntil: number;
	receiveUntil: number;
	/** Deadline of all work that is accepted during the stop. */
	workUntil: number;
	/** The end of the work; what is left is cut off. */
	endAt: number;
	/** The end of the process, until which the links to other nodes are ended. */
	linksEndBy: number;
};

/**
 * Milliseconds during which a stopping node accepts callers' requests: callers'
 * load balancers check every second and remove a node after two failed checks.
 * What is accepted last has the rest of the grace period to complete.
 */
const acceptDuration = 2500;
/** The same as a ratio of a short grace period. */
const maxAcceptRatio = 0.5;
/**
 * Ratio of that time during which the target still accepts requests that have no
 * other target. When nodes are restarted one after another, faster than they
 * become ready again, all targets of a small service can be behind stopping
 * nodes at the same time; if these refused requests, the service would be
 * unavailable for seconds.
 */
const targetAcceptRatio = 0.8;
/** Milliseconds after the end of acceptance within which a request that is arriving is waited for. */
const receiveDuration = 1000;
/** Milliseconds before the end of the grace period at which remaining requests are cut off. */
const stopReserve = 500;
/** Milliseconds before the end of the grace period at which the process ends. */
const killReserve = 200;
/** Milliseconds before the end that are reserved for returning the last answers. */
const answerReserve = 150;
/** Interval between checks for requests in flight, in milliseconds. */
const idleCheckInterval = 50;

/**
 * Plans a stop that begins now.
 *
 * @param grace - Milliseconds from now until the process is killed.
 */
export function planStop(now: number, grace: number): StopSchedule {
	const accept = Math.min(acceptDuration, grace * maxAcceptRatio);
	const endAt = now + Math.max(accept, grace - stopReserve);
	return {
		targetAcceptsUntil: now + accept * targetAcceptRatio,
		acceptUntil: now + accept,
		receiveUntil: Math.min(now + accept + receiveDuration, endAt),
		workUntil: endAt - answerReserve,
		endAt,
		linksEndBy: now + grace - killReserve,
	};
}

/**
 * Resolves when no more work is accepted and nothing is in flight, or at the end
 * of the schedule; one check later if the process was stalled until then.
 *
 * @param checkIdle - Whether nothing is in flight; called in each period.
 */
export async function waitUntilIdle(
	clock: Clock,
	{acceptUntil, endAt}: StopSchedule,
	checkIdle: () => boolean,
): Promise<void> {
	await new Promise<void>((resolve) => {
		let lastCheck = clock.now();
		let isOver = false;
		const check = () => {
			const now = clock.now();
			// After a stall, timers fire before sockets are read, so what arrived meanwhile is read first.
			const wasStalled = now - lastCheck > 2 * idleCheckInterval;
			lastCheck = now;
			const wasOver = isOver;
			isOver = now >= endAt;
			if (
				(isOver && (wasOver || !wasStalled)) ||
				(now >= acceptUntil && checkIdle())
			) {
				resolve();
			} else {
				clock.setTimer(idleCheckInterval, check);
			}
		};

		check();
	});
}
