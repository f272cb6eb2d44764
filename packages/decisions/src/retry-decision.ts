/**
 * Whether a refused attempt is retried at another target.
 *
 * Load pattern: refusals come from one target (it is leaving, gone, or the
 * only overloaded one) or from all of them. In the first case another target
 * can serve the request at once; in the second each retry adds load at every
 * layer, and refusals cause more refusals. The reaction depends on the code:
 *
 * - `elsewhere`: only this target is out of service.
 * - `ifGroupAllows`: the target refused because of load; another one may have
 *   room if the group doesn't refuse as a whole and the recorded level admits
 *   all requests. A node replaces such a refusal by its own, with its own code
 *   and retry-after time, so only the layer directly above retries it.
 * - `never`: the request itself is the cause; it would end the same at any
 *   target.
 *
 * An unknown outcome is never retried here: the attempt may have run and has
 * used its downstream attempts.
 */
import {ErrorCode} from '@egretspoke/protocol';
import type {AttemptResult} from './policy.js';

/** The reaction to a code. */
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

/** Whether the target refused the attempt because of load. */
export function isLoadRefusal({result, code}: AttemptResult): boolean {
	return (
		result === 'notRun' &&
		code !== undefined &&
		(reactions[code] === 'ifGroupAllows' || code === ErrorCode.CallerOverShare)
	);
}
