/**
 * The own data centre first, others when it is under pressure.
 *
 * Load pattern: the targets of one data centre are busy while others are idle,
 * or the link between them is slow or cut. Without locality most calls cross
 * data centres for nothing, and a cut takes down work that never needed the
 * other side; with locality alone one data centre refuses while the next is
 * idle. So work stays while the better local target has room, and past that
 * goes to whichever is cheaper.
 *
 * Threshold: at 0.7 of the slots taken, a target of 20 slots or more makes
 * hardly anybody wait (Erlang's formula gives a wait in one case of twenty at
 * 20 slots), so up to there nothing can be gained by going further.
 */
import {pressureOf, slownessOf, type TargetView} from './target-view.js';

const spillPressure = 0.7;
/** A local target slower than this beside the others is no reason to stay. */
const spillSlowness = 1.5;

/** Whether work should stay with the local target. */
export function hasRoom(view: TargetView, now: number): boolean {
	return (
		pressureOf(view, now) < spillPressure &&
		slownessOf(view, now) <= spillSlowness
	);
}
