/**
 * Whether the targets of a service are overloaded together.
 *
 * A refusal of one target is worth a try at another only if the others aren't
 * refusing as well. The share of attempts refused for load is averaged over
 * 64 ends, a few round trips of a busy node; above a tenth the group counts as
 * overloaded, since then even a budget of a tenth of the successes would be
 * spent on refusals alone.
 */

const span = 64;
const overloadedShare = 0.1;

/** The moving average of attempts refused for load. */
export type GroupLoad = {refusedShare: number};

/** Creates the state of a group that has refused nothing. */
export function createGroupLoad(): GroupLoad {
	return {refusedShare: 0};
}

/** Learns from the end of an attempt. */
export function recordAttempt(state: GroupLoad, isRefused: boolean): void {
	state.refusedShare += ((isRefused ? 1 : 0) - state.refusedShare) / span;
}

/** Whether the group as a whole refuses. */
export function isGroupOverloaded({refusedShare}: GroupLoad): boolean {
	return refusedShare > overloadedShare;
}
