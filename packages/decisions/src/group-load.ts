/**
 * Detects that the targets of a service are overloaded as a group.
 *
 * A refused attempt is worth a retry at another target only if the other
 * targets don't refuse as well. The ratio of attempts refused because of load
 * is averaged over 64 attempts, a few round trips of a busy node. Above a
 * tenth the group counts as overloaded, because then even a retry budget of a
 * tenth of the successes would be spent on refusals alone.
 */

const span = 64;
const overloadedShare = 0.1;

/** The moving average of attempts refused for load. */
export type GroupLoad = {refusedShare: number};

/** Creates the state of a group without refusals. */
export function createGroupLoad(): GroupLoad {
	return {refusedShare: 0};
}

/** Records the end of an attempt. */
export function recordAttempt(state: GroupLoad, isRefused: boolean): void {
	state.refusedShare += ((isRefused ? 1 : 0) - state.refusedShare) / span;
}

/** Whether the group as a whole is overloaded. */
export function isGroupOverloaded({refusedShare}: GroupLoad): boolean {
	return refusedShare > overloadedShare;
}
