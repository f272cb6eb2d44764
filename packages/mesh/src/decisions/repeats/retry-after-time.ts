/**
 * Calculates when a refused caller should retry.
 *
 * Load pattern: a burst of which a part is refused. With the same retry time
 * for all, the refused requests arrive as the next burst and are refused again.
 * Near the end of their objective, retries are admitted but answered too late
 * to be useful. So the times are spread from a short minimum to half of the
 * objective. While nearly all are refused, the cause lasts for seconds, and the
 * times are spread over the later half of what the caller can wait.
 */

/** The retry time for a short overload, in milliseconds. */
export const shortRetryAfter = 300;
/** The minimum retry time as a fraction of the objective, if that is sooner. */
const minObjectiveRatio = 0.2;
/**
 * The maximum retry time as a fraction of the objective; the rest is left for
 * the answer.
 */
const maxObjectiveRatio = 0.5;
/**
 * The ratio of refused requests from which nearly all count as refused. Half of
 * the objective is too early then: the cause will probably persist, and a late
 * answer is better than a second refusal.
 */
const nearlyAllRatio = 0.9;
/** The maximum retry time as a fraction of the time that the caller has left. */
const maxTimeLeftRatio = 1 / 3;

/**
 * The minimum retry time while nearly all requests are refused, as a fraction of
 * the maximum: most callers return once, and a return within the trouble is
 * their last.
 */
const minLateRatio = 0.5;

/** What determines the retry time of a caller; times in milliseconds. */
export type CallerTime = {
	/** Time until the caller gives up. */
	timeLeft: number;
	/** Time from the arrival of the request within which an answer has its full value to the caller. */
	objective: number;
	/** The ratio of similar requests, from 0 to 1, that are currently refused. */
	refused: number;
};

/** Returns the milliseconds until the retry; `fraction` is drawn uniformly from 0 to 1. */
export function retryAfterTime(
	{timeLeft, objective, refused}: CallerTime,
	fraction: number,
): number {
	const max = Math.max(0, timeLeft) * maxTimeLeftRatio;
	const earliest = Math.min(
		max,
		shortRetryAfter,
		objective * minObjectiveRatio,
	);
	if (refused >= nearlyAllRatio) {
		return max * (minLateRatio + (1 - minLateRatio) * fraction);
	}

	const latest = Math.min(max, objective * maxObjectiveRatio);
	return earliest + Math.max(0, latest - earliest) * fraction;
}
