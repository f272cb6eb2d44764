/**
 * The connections that a target accepts.
 *
 * Load pattern: a slow target, to which requests pile up. Past its connections
 * every further one is refused by the target's own host after the cost of an
 * attempt; one notices connect errors at a target whose processor is idle. So
 * a node never has more requests at a target than the target has connections.
 */
import type {TargetView} from './target-view.js';

/** Whether this node may open one more connection, or use a free one. */
export function hasConnection({open, candidate}: TargetView): boolean {
	return open.size < candidate.connections;
}
