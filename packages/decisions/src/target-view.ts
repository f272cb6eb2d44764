/** The statistics of an entry node about one target. */
import type {LoadReport} from '@egretspoke/protocol';
import type {RoutingCandidate} from './policy.js';
import {updateAverage} from './rate-of-change.js';

/** Number of attempts over which a target's slowness and failures are averaged. */
const averageSpan = 16;
/**
 * Milliseconds for which a load report is used. It is already late when it
 * arrives, and no longer valid after this time.
 */
const reportLifetime = 1000;
/**
 * The time constant of the decay of an unconfirmed slowness, in milliseconds:
 * after it the slowness is at 1/e. An avoided target sends no new durations
 * and must get another chance.
 */
const slownessDecayTime = 10_000;
/** The maximum duration of one attempt, relative to the expected one. */
const maxRatio = 64;

/**
 * An attempt in flight; `expected` is its expected duration in milliseconds,
 * or 0 when that is unknown.
 */
type OpenAttempt = {startedAt: number; expected: number};

/**
 * A target counts as slow when this many attempts in flight have taken this
 * much longer than typical.
 */
const stuckCount = 3;
const stuckFactor = 1.5;
const stuckSlowness = 2;
/** The number of attempts that are checked, from the oldest. */
const maxStuckChecks = 8;

/** One target as seen by this node. */
export type TargetView = {
	candidate: RoutingCandidate;
	/** This node's attempts in flight there, by id. */
	open: Map<string, OpenAttempt>;
	/**
	 * Attempts in flight with an expected duration: their number, and the sums
	 * of their start times and expected durations.
	 */
	expectedCount: number;
	startedSum: number;
	expectedSum: number;
	/** The latest start of the attempts that have ended. */
	lastEndedStart: number;
	/** The moving average of log(duration / expected). */
	slownessLog: number;
	/** The moving average of failed attempts, from 0 to 1. */
	failures: number;
	/** Answered attempts since the target joined or its last ejection was lifted. */
	answerCount: number;
	/** When `slownessLog` was last updated. */
	slownessAt: number;
	/** The load per slot of the last report, and when it was received. */
	reported: number;
	reportedAt: number;
	/** Attempts started less those ended since the report. */
	sinceReport: number;
	/** The end of the ejection; 0 when the target isn't ejected. */
	ejectedUntil: number;
	/** The number of consecutive ejections. */
	ejections: number;
};

/** Creates the view of a target without statistics. */
export function createTargetView(candidate: RoutingCandidate): TargetView {
	return {
		candidate,
		open: new Map(),
		expectedCount: 0,
		startedSum: 0,
		expectedSum: 0,
		lastEndedStart: Number.NEGATIVE_INFINITY,
		slownessLog: 0,
		failures: 0,
		answerCount: 0,
		slownessAt: 0,
		reported: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		sinceReport: 0,
		ejectedUntil: 0,
		ejections: 0,
	};
}

/** Records the start of an attempt. */
export function recordStart(
	view: TargetView,
	id: string,
	expected: number,
	now: number,
): void {
	view.open.set(id, {startedAt: now, expected});
	view.sinceReport++;
	if (expected > 0) {
		view.expectedCount++;
		view.startedSum += now;
		view.expectedSum += expected;
	}
}

/** Records the end of an attempt; returns false when it isn't in flight. */
export function recordEnd(view: TargetView, id: string): boolean {
	const attempt = view.open.get(id);
	if (!attempt) {
		return false;
	}

	view.open.delete(id);
	view.lastEndedStart = Math.max(view.lastEndedStart, attempt.startedAt);
	view.sinceReport--;
	if (attempt.expected > 0) {
		view.expectedCount--;
		view.startedSum -= attempt.startedAt;
		view.expectedSum -= attempt.expected;
	}

	return true;
}

/** Records the duration of an answered attempt, relative to the expected one. */
export function recordSlowness(
	view: TargetView,
	ratio: number,
	now: number,
): void {
	view.slownessLog = decayedLog(view, now);
	view.slownessAt = now;
	view.answerCount++;
	const value = Math.log(Math.min(maxRatio, Math.max(1 / maxRatio, ratio)));
	view.slownessLog = updateAverage(
		view.slownessLog,
		value,
		// The first samples are averaged with four ordinary ones.
		view.answerCount + 4,
		averageSpan,
	);
}

/** Records whether an attempt failed for a reason other than load. */
export function recordFailure(view: TargetView, hasFailed: boolean): void {
	view.failures += ((hasFailed ? 1 : 0) - view.failures) / averageSpan;
}

/** Records a load report of the target's node. */
export function recordReport(
	view: TargetView,
	{inFlight, waiting, limit}: LoadReport,
	now: number,
): void {
	view.reported = (inFlight + waiting) / Math.max(1, limit);
	view.reportedAt = now;
	view.sinceReport = 0;
}

/**
 * The load per slot: this node's own requests, or the reported load plus the
 * requests sent since, if that is more. A report can only raise the value, so
 * one that wrongly claims an idle target attracts no load.
 */
export function pressureOf(view: TargetView, now: number): number {
	const slots = Math.max(1, view.candidate.slots);
	const own = view.open.size / slots;
	if (now - view.reportedAt > reportLifetime) {
		return own;
	}

	return Math.max(own, view.reported + view.sinceReport / slots);
}

/**
 * The slowness of the target relative to the others; 1 is ordinary. Requests
 * in flight count by their age, so that a target which has stopped answering
 * is detected before the first of them ends.
 */
export function slownessOf(view: TargetView, now: number): number {
	const decayed = Math.exp(decayedLog(view, now));
	const observed = isStuck(view, now)
		? Math.max(decayed, stuckSlowness)
		: decayed;
	if (view.expectedCount < 2) {
		return observed;
	}

	const age = view.expectedCount * now - view.startedSum;
	return Math.max(observed, age / view.expectedSum);
}

/**
 * Whether the target has stopped answering as usual: the last few attempts
 * have all exceeded the typical duration, and no attempt that started after
 * them has ended. With exponentially distributed durations this happens by
 * chance to three attempts in one case of 23, and then only affects a few
 * choices.
 */
function isStuck({open, lastEndedStart}: TargetView, now: number): boolean {
	let checked = 0;
	let late = 0;
	for (const {startedAt, expected} of open.values()) {
		if (
			++checked > maxStuckChecks ||
			now - startedAt <= stuckFactor * expected
		) {
			return false;
		}

		if (expected > 0 && startedAt > lastEndedStart && ++late === stuckCount) {
			return true;
		}
	}

	return false;
}

function decayedLog(
	{slownessLog, slownessAt}: TargetView,
	now: number,
): number {
	return slownessLog === 0
		? 0
		: slownessLog * Math.exp((slownessAt - now) / slownessDecayTime);
}
