/**
 * Excludes outlier targets from routing for some time.
 *
 * Load pattern: one target of a group fails, or is many times as slow as the
 * others, while its health endpoint reports no problem. Even a small ratio of
 * requests sent there determines the service's 99th percentile. After its
 * ejection a target gets one request at a time until one shows that it is
 * ordinary again.
 *
 * A fault of all targets must not eject all of them, because the remaining
 * ones would be overloaded. So at most a third of the group is ejected, an
 * outlier needs a group of at least three, and ejections are ignored when
 * fewer than half of the group are left (panic rule). Slowness ejects a target
 * only while the others have room for its work, and never one that may be
 * cold.
 */
import {isStarting} from './slow-start.js';
import {
	pressureOf,
	recordSlowness,
	slownessOf,
	type TargetView,
} from './target-view.js';

/** Three times the typical duration, averaged over sixteen requests, exceeds random variation. */
const slowFactor = 3;
/**
 * A target is failing when more than half of sixteen requests failed and this
 * is more than twice the ratio of another target, because a fault of a
 * downstream service shows at all of them.
 */
const failureShare = 0.5;
/**
 * Milliseconds of the first ejection. Each consecutive one is twice as long up
 * to half a minute; a target that stays slow then costs each node one request
 * per half minute.
 */
const firstDuration = 2000;
const maxDuration = 30_000;
const maxEjectedShare = 1 / 3;
/** The load per slot from which a target has no free slot for the work of another. */
const fullPressure = 1;

/** The ejected targets of a group. */
export type EjectionGroup = {
	views: readonly TargetView[];
	/** Targets whose ejection hasn't been lifted by a good answer. */
	ejected: Set<TargetView>;
};

/** Whether the target is excluded now; a half-open one gets one request at a time. */
export function isEjected(view: TargetView, now: number): boolean {
	return view.ejections > 0 && (now < view.ejectedUntil || view.open.size > 0);
}

/** Whether the ejection has expired and the next request is a probe. */
export function isDueForProbe(view: TargetView, now: number): boolean {
	return view.ejections > 0 && now >= view.ejectedUntil && view.open.size === 0;
}

/** Whether so many targets are ejected that the ejections are ignored. */
export function isPanic({views, ejected}: EjectionGroup): boolean {
	return ejected.size * 2 > views.length;
}

/** The end of an attempt at a target. */
export type AttemptEnd = {
	/** The duration relative to the typical one; 1 when that is unknown. */
	ratio: number;
	/** Whether it was answered; otherwise the duration is only a lower bound. */
	isComplete: boolean;
	/** Another target of the group, for comparison. */
	other: TargetView | undefined;
};

/** Ejects the target, lifts its ejection, or does nothing. */
export function updateEjection(
	group: EjectionGroup,
	view: TargetView,
	end: AttemptEnd,
	now: number,
): void {
	if (view.ejections === 0) {
		ejectIfOutlier(group, view, end.other, now);
	} else if (now >= view.ejectedUntil) {
		evaluateProbe(group, view, end, now);
	}
}

function ejectIfOutlier(
	group: EjectionGroup,
	view: TargetView,
	other: TargetView | undefined,
	now: number,
): void {
	const isFailing =
		view.failures > failureShare &&
		(other?.failures ?? 0) < view.failures * failureShare;
	const isSlow =
		slownessOf(view, now) > slowFactor &&
		!isStarting(view, now) &&
		hasSpareCapacity(other, now);
	if ((isFailing || isSlow) && canEjectMore(group)) {
		eject(group, view, now);
	}
}

/** Evaluates the end of the request sent to a half-open target. */
function evaluateProbe(
	group: EjectionGroup,
	view: TargetView,
	{ratio, isComplete, other}: AttemptEnd,
	now: number,
): void {
	if (ratio > slowFactor) {
		if (hasSpareCapacity(other, now)) {
			eject(group, view, now);
		} else {
			// A slow slot is better than none.
			liftEjection(group, view);
		}
	} else if (isComplete) {
		liftEjection(group, view);
		view.failures = 0;
		view.slownessLog = 0;
		view.answerCount = 0;
		recordSlowness(view, ratio, now);
	} else if (view.failures > failureShare) {
		eject(group, view, now);
	}
}

function eject(group: EjectionGroup, view: TargetView, now: number): void {
	view.slownessLog = Math.log(slownessOf(view, now));
	view.slownessAt = now;
	view.ejections++;
	view.ejectedUntil =
		now + Math.min(maxDuration, firstDuration * 2 ** (view.ejections - 1));
	group.ejected.add(view);
}

function liftEjection(group: EjectionGroup, view: TargetView): void {
	view.ejections = 0;
	view.ejectedUntil = 0;
	group.ejected.delete(view);
}

/** Whether another target can take the work; one that is slow itself can't. */
function hasSpareCapacity(other: TargetView | undefined, now: number): boolean {
	return (
		other !== undefined &&
		slownessOf(other, now) <= slowFactor &&
		pressureOf(other, now) < fullPressure
	);
}

function canEjectMore({views, ejected}: EjectionGroup): boolean {
	const maxEjected = Math.max(
		views.length >= 3 ? 1 : 0,
		Math.floor(views.length * maxEjectedShare),
	);
	return ejected.size < maxEjected;
}
