/**
 * When a refused caller should come back.
 *
 * Load pattern: a burst of which a part is refused. Told the same time, all
 * that are refused come back as the next burst, and are refused again. Told to
 * come back when their objective is nearly over, those that are let in then
 * are answered too late to be of use. So the returns are spread, from a
 * moment's overload to half of the objective, which leaves the other half for
 * the answer. When nearly all are refused that is too soon: the cause will hardly
 * be gone, and a late answer is better than a second refusal.
 */

/** Milliseconds after which a caller may come back when only a moment is missing. */
export const shortRetryAfter = 300;
/** The part of the objective after which a caller comes back at the earliest, if that is sooner. */
const earliestReturn = 0.2;
/** The part of the objective after which a caller comes back at the latest. */
const latestReturn = 0.5;
/** The share of requests that is nearly all of them. */
const nearlyAll = 0.9;
/** Callers come back at most after this part of the time that they have left. */
const mostOfTimeLeft = 1 / 3;

/** What is known of the caller's time, in milliseconds. */
export type CallerTime = {
	/** Until it gives up. */
	timeLeft: number;
	/** Within which an answer is worth most to it, counted from its arrival. */
	objective: number;
	/** The share of requests like this one, from 0 to 1, that is refused now. */
	refused: number;
};

/** Milliseconds until the return, for a fraction drawn from 0 to 1. */
export function retryAfterTime(
	{timeLeft, objective, refused}: CallerTime,
	fraction: number,
): number {
	const most = Math.max(0, timeLeft) * mostOfTimeLeft;
	const earliest = Math.min(most, shortRetryAfter, objective * earliestReturn);
	const latest =
		refused < nearlyAll ? Math.min(most, objective * latestReturn) : most;
	return earliest + Math.max(0, latest - earliest) * fraction;
}
