/**
 * Only work that can end before its deadline is let in.
 *
 * Load pattern: a target turns slow, or its queue long, while callers wait no
 * longer than before. Without this check slots are spent on requests whose
 * callers have gone by the time the answer comes; one notices a busy target
 * and hardly a whole answer. The check compares what is left until the
 * deadline with the operation's learnt duration; a request waits no longer
 * than leaves that time.
 *
 * What could go wrong with it: when one slow spell has taught a duration that
 * no deadline allows, nothing runs and nothing is learnt any more. So a
 * request of an operation of which nothing runs now is always feasible.
 */

/** The latest instant at which the request can start and still end in time. */
export function latestStart(
	deadline: number,
	duration: number,
	running: number,
): number {
	return running === 0 ? deadline : deadline - duration;
}

/** Whether a request that can't start before this instant is doomed. */
export function isInfeasible(latest: number, earliestStart: number): boolean {
	return latest <= earliestStart;
}
