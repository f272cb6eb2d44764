/**
 * Decides what a stopping node still accepts from callers.
 *
 * Load pattern: callers go on sending to a node that is being stopped, because
 * their load balancer has no other node or they use open connections. Work that
 * is accepted until the end is cut, and the stop lasts for the whole grace
 * period. So new requests are refused early enough for accepted ones to
 * complete. Calls of work that runs at the local target are accepted longer,
 * because that work fails without them, but only if they end before the node in
 * any case: their targets would be at work when the node gives them up.
 */

/** The schedule of a stop, in milliseconds on the clock. */
export type AcceptanceTimes = {
	/** New requests are accepted until then. */
	acceptUntil: number;
	/** Deadline of all work that is accepted during the stop. */
	workUntil: number;
};

/** A request at a stopping node. */
export type RequestAtStop = {
	/** A call of work that runs at the local target. */
	isCallOfRunningWork: boolean;
	/** Milliseconds until its caller gives up or its route's timeout ends. */
	timeLeft: number;
};

/** Minimum time left for a call, in milliseconds; with less it can't complete in time. */
const minCallTime = 20;
/** Milliseconds within which a node has usually ended and started again. */
const restartTime = 2000;
/** Ratio of that time over which the returns of callers are spread. */
const returnSpread = 0.25;
/** The maximum retry time as a ratio of the time that the caller has left. */
const maxTimeLeftRatio = 1 / 3;

/** Returns the time left for the request, bounded by the end of the node; undefined if it is refused. */
export function timeLeftAtStop(
	{acceptUntil, workUntil}: AcceptanceTimes,
	{isCallOfRunningWork, timeLeft}: RequestAtStop,
	now: number,
): number | undefined {
	const isAccepted =
		now < acceptUntil ||
		(isCallOfRunningWork && workUntil - now >= Math.max(minCallTime, timeLeft));
	return isAccepted ? Math.min(timeLeft, workUntil - now) : undefined;
}

/**
 * Returns the milliseconds after which a caller that was refused should retry:
 * when the node has started again.
 *
 * @param fraction - Drawn uniformly from 0 to 1.
 */
export function retryAfterStop(
	timeLeft: number | undefined,
	fraction: number,
): number {
	return Math.min(
		restartTime * (1 + returnSpread * fraction),
		(timeLeft ?? Number.POSITIVE_INFINITY) * maxTimeLeftRatio,
	);
}
