/**
 * Whether a refused attempt is made again elsewhere.
 *
 * Load pattern: refusals come from one target (it is leaving, gone, or alone
 * overloaded) or from all of them. In the first case another target serves the
 * request at once and the caller needn't know; in the second each retry is
 * load on top of overload, at every layer, and one notices that refusals
 * produce more refusals. The reaction to each code stands in a table:
 *
 * - `elsewhere`: the target is out of service; another one is not.
 * - `ifGroupAllows`: the target refused for load; another one may have room,
 *   if the group doesn't refuse as a whole and the levels seen let all in.
 *   Since a node turns such a refusal into one of its own, with its own code
 *   and come-back time, only the layer right above it ever repeats it.
 * - `never`: the request itself is the reason; it would end the same anywhere.
 *
 * An outcome that isn't known is never tried again here: the attempt may have
 * run, and has used what it was given for the chain below.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {AttemptResult} from './policy.js';

/** How a code is reacted to. */
export type RetryReaction = 'elsewhere' | 'ifGroupAllows' | 'never';

const reactions: Partial<Record<ErrorCode, RetryReaction>> = {
	[ErrorCode.Leaving]: 'elsewhere',
	[ErrorCode.TargetUnreachable]: 'elsewhere',
	[ErrorCode.NodeSuspended]: 'elsewhere',
	[ErrorCode.Overloaded]: 'ifGroupAllows',
	[ErrorCode.QueueTimeout]: 'ifGroupAllows',
	[ErrorCode.DeadlineInfeasible]: 'ifGroupAllows',
	[ErrorCode.LevelTooLow]: 'ifGroupAllows',
	[ErrorCode.TargetShed]: 'ifGroupAllows',
};

/** The reaction to the end of an attempt. */
export function reactionTo({result, code}: AttemptResult): RetryReaction {
	if (result === 'unreachable') {
		return 'elsewhere';
	}

	return result === 'notRun' && code !== undefined
		? (reactions[code] ?? 'never')
		: 'never';
}

/** Whether the end of an attempt says that the target refused for load. */
export function isLoadRefusal({result, code}: AttemptResult): boolean {
	return (
		result === 'notRun' &&
		code !== undefined &&
		(reactions[code] === 'ifGroupAllows' || code === ErrorCode.CallerOverShare)
	);
}
