/** What an entry node has seen of one target. */
import type {LoadReport} from '@egretspoke/protocol';
import type {RoutingCandidate} from './policy.js';
import {updateAverage} from './rate-of-change.js';

/** Ends over which a target's slowness and failures are averaged. */
const averageSpan = 16;
/** A report counts for so long, in milliseconds; it is late when it comes and says nothing of later. */
const reportLifetime = 1000;
/**
 * Milliseconds after which a slowness that nobody confirms is down to 1/e: a
 * target that is avoided sends no news, and must get another chance.
 */
const slownessDecayTime = 10_000;
/** The longest duration that one end may count for, relative to the expected one. */
const maxRatio = 64;

/** An attempt in flight; `expected` is 0 when nothing was known of its operation. */
type OpenAttempt = {startedAt: number; expected: number};

/** So many attempts in a row, so much longer than typical, make a target count as slow. */
const stuckCount = 3;
const stuckFactor = 1.5;
const stuckSlowness = 2;
/** Attempts looked at for this, from the oldest. */
const maxStuckChecks = 8;

/** One target as this node sees it. */
export type TargetView = {
	candidate: RoutingCandidate;
	/** The attempts that this node has in flight there, by id. */
	open: Map<string, OpenAttempt>;
	/** Of those whose duration could be expected: how many, and the sums of their starts and durations. */
	expectedCount: number;
	startedSum: number;
	expectedSum: number;
	/** The latest start of those that have ended. */
	lastEndedStart: number;
	/** The moving average of log(duration / expected). */
	slownessLog: number;
	/** The moving average of ends that failed, from 0 to 1. */
	failures: number;
	answerCount: number;
	/** When `slownessLog` last moved. */
	slownessAt: number;
	/** Load for each slot, as last reported, and when. */
	reported: number;
	reportedAt: number;
	/** Starts less ends since the report. */
	sinceReport: number;
	/** Until when it is ejected; 0 when it isn't. */
	ejectedUntil: number;
	/** How often in a row it was ejected. */
	ejections: number;
};

/** Creates the view of a target that nothing is known of. */
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

/** An attempt was sent. */
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

/** It has ended, however; false when it isn't in flight. */
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

/** Learns how long an answered request took, relative to what was expected. */
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
		// A few samples count as if the first ones had been ordinary.
		view.answerCount + 4,
		averageSpan,
	);
}

/** Learns whether a request failed for a reason other than load. */
export function recordFailure(view: TargetView, hasFailed: boolean): void {
	view.failures += ((hasFailed ? 1 : 0) - view.failures) / averageSpan;
}

/** Learns what the target's node reports. */
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
 * Load for each slot: what this node has there itself, or what was reported
 * and sent since if that is more. A report can only add to what was seen, so
 * one that claims an idle target draws no load to it.
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
 * How slow the target is beside the others: 1 is ordinary. Requests in flight
 * count by their age, so that a target which has stopped answering is seen
 * before the first of them ends.
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
 * have all outlasted what is typical, and none that was started after them has
 * ended. When durations vary exponentially this happens by chance to three
 * attempts in one case of 23, and then costs only a few choices.
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
