/**
 * A target that has just joined gets its share of the work step by step.
 *
 * Load pattern: a cold target joins a busy group. It looks idle, so every
 * entry node prefers it, and its empty caches make it slow at the very moment
 * when it gets most; one notices timeouts for some seconds after each restart.
 * Its cost is divided by a weight that grows from a tenth to one.
 *
 * Threshold: ten seconds, two of the intervals in which a slowness that shows
 * only under load leads to ejection; from then on what was seen of the target
 * is worth more than its age.
 */
import {limitChange} from './rate-of-change.js';

const rampTime = 10_000;
const firstWeight = 0.1;

/** The weight of a target seen first at `since`. */
export function slowStartWeight(since: number, now: number): number {
	const age = now - since;
	if (age >= rampTime) {
		return 1;
	}

	return limitChange(firstWeight, age / rampTime, {
		down: 1,
		up: 1 / firstWeight,
	});
}
