/**
 * Prefers targets of the local data centre until they are loaded.
 *
 * Load pattern: the targets of one data centre are busy while others are idle,
 * or the link between data centres is slow or cut. Without locality most calls
 * cross data centres needlessly, and a cut link fails requests that could have
 * stayed local; with strict locality one data centre refuses while the next is
 * idle. Requests stay local while the better local target has room; beyond
 * that they go to the target with the lower cost.
 */
import {pressureOf, slownessOf, type TargetView} from './target-view.js';

/**
 * With 0.7 of the slots taken, hardly any request waits at a target of 20 or
 * more slots (one in twenty at 20 slots by Erlang's formula), so a remote
 * target is no better below this load.
 */
const spillPressure = 0.7;
/** The slowness, relative to the other targets, above which a local target isn't preferred. */
const spillSlowness = 1.5;

/** Whether requests should stay with the local target. */
export function hasRoom(view: TargetView, now: number): boolean {
	return (
		pressureOf(view, now) < spillPressure &&
		slownessOf(view, now) <= spillSlowness
	);
}
