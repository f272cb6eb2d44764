/**
 * Increases the load of a target that has just joined step by step.
 *
 * Load pattern: a cold target joins a busy group. It looks idle, so every
 * entry node prefers it while its empty caches make it slow: requests time out
 * for some seconds after each restart. Each entry node therefore begins with
 * one request there, and each answer allows one more at a time (as in TCP's
 * slow start): the load doubles with each round of answers, fast at a warm
 * target and slowly at a cold one. A ramp by time alone would hold back a
 * target that is ready, and keep a target cold that warms up by its requests.
 */
import type {TargetView} from './target-view.js';

/** Milliseconds. After ten seconds the statistics of the target are more useful than its age. */
const startTime = 10_000;

/** Whether the target joined so recently that it may be cold. */
export function isStarting({candidate}: TargetView, now: number): boolean {
	return now - candidate.since < startTime;
}

/** Whether one more request may be sent to a target that may be cold. */
export function mayStart(view: TargetView, now: number): boolean {
	return !isStarting(view, now) || view.open.size <= view.answerCount;
}
