/**
 * A target that has just joined gets its work step by step.
 *
 * Load pattern: a cold target joins a busy group. It looks idle, so every
 * entry node prefers it, and its empty caches make it slow at the very moment
 * when it gets most; one notices timeouts for some seconds after each restart.
 * So each entry node begins with one request there, and each answer lets one
 * more in at a time (as TCP's slow start does): the load doubles with each
 * round of answers, slowly at a target that answers slowly, fast at one that
 * is warm. A ramp by time alone would hold back a target that is ready, and
 * keep one cold that warms up by its work.
 *
 * Threshold: the start is over after ten seconds; from then on what was seen
 * of the target is worth more than its age.
 */
import type {TargetView} from './target-view.js';

const startTime = 10_000;

/** Whether the target has joined so lately that it may be cold. */
export function isStarting({candidate}: TargetView, now: number): boolean {
	return now - candidate.since < startTime;
}

/** Whether one more request may be sent to a target that may be cold. */
export function mayStart(view: TargetView, now: number): boolean {
	return !isStarting(view, now) || view.open.size <= view.answerCount;
}
