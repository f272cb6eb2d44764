/**
 * Admits only requests that can end before their deadline.
 *
 * Load pattern: a target becomes slow, or its queue long, while callers wait
 * no longer than before. Without this check the slots run requests whose
 * callers give up before the answer. The check compares the time until the
 * deadline with the operation's recorded duration; the same time limits the
 * wait in the queue.
 *
 * After a slow period the recorded duration may exceed every deadline; then no
 * request would run and the duration would never be updated. A request is
 * therefore always feasible while no other request of its operation runs.
 */

/** The latest time at which the request can start and still end before its deadline. */
export function latestStart(
	deadline: number,
	duration: number,
	running: number,
): number {
	return running === 0 ? deadline : deadline - duration;
}

/** Whether a request that can't start before `earliestStart` would miss its deadline. */
export function isInfeasible(latest: number, earliestStart: number): boolean {
	return latest <= earliestStart;
}
