/**
 * Limits the requests at a target to its connections.
 *
 * Load pattern: requests pile up at a slow target. Beyond its connections the
 * target's host refuses each further request, after the cost of an attempt:
 * connect errors while the target's processor is idle. A node therefore never
 * has more requests at a target than the target has connections.
 */
import type {TargetView} from './target-view.js';

/** Whether this node may use a free connection or open another one. */
export function hasConnection({open, candidate}: TargetView): boolean {
	return open.size < candidate.connections;
}
