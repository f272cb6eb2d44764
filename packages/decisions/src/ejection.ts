/**
 * Targets that stand out are left alone for a while.
 *
 * Load pattern: one target of a group fails, or answers many times as slowly
 * as the others, while its health endpoint says that all is well. Even a small
 * share of requests sent there makes the service's 99th percentile that
 * target's; one notices a slow tail that no load explains. After an ejection
 * the target gets one request at a time until that one has shown it to be
 * ordinary again.
 *
 * What could go wrong: a fault that hits all targets ejects all of them, and
 * the few that are left drown. So at most a third of the group is ejected, at
 * least three targets are needed to tell an outlier, slowness ejects only while
 * the others have room for its work and never a target that may be cold, and when fewer than half of the group may
 * be chosen, ejections don't count at all (panic rule).
 *
 * Thresholds: three times the typical duration, as an average over sixteen, is
 * beyond what chance gives; half of sixteen requests failed likewise, if it is
 * twice what another target fails, since a fault deeper in the chain shows at
 * all of them. The
 * first ejection lasts two seconds, each further one in a row twice as long up
 * to half a minute: a target that stays slow then costs one request a node and
 * half minute.
 */
import {isStarting} from './slow-start.js';
import {
	recordSlowness,
	pressureOf,
	slownessOf,
	type TargetView,
} from './target-view.js';

const slowFactor = 3;
const failureShare = 0.5;
const firstDuration = 2000;
const maxDuration = 30_000;
const maxEjectedShare = 1 / 3;
/** From this load for each slot on a target has no free slot for the work of another. */
const fullPressure = 1;

/** The ejections of a group. */
export type EjectionGroup = {
	views: readonly TargetView[];
	/** Targets with an ejection that hasn't been lifted by a good answer. */
	ejected: Set<TargetView>;
};

/** Whether the target is left alone now; a half-open one takes one request at a time. */
export function isEjected(view: TargetView, now: number): boolean {
	return view.ejections > 0 && (now < view.ejectedUntil || view.open.size > 0);
}

/** Whether its time is over and the next request is to show whether it is ordinary again. */
export function isDueForProbe(view: TargetView, now: number): boolean {
	return view.ejections > 0 && now >= view.ejectedUntil && view.open.size === 0;
}

/** Whether the ejections count, or so many are out that they can't be trusted. */
export function isPanic({views, ejected}: EjectionGroup): boolean {
	return ejected.size * 2 > views.length;
}

/** How an attempt at a target ended. */
export type AttemptEnd = {
	/** Its duration relative to the typical one; 1 when that isn't known. */
	ratio: number;
	/** Whether it was answered; else the duration is only the least that it would have taken. */
	isComplete: boolean;
	/** Another target of the group to compare with. */
	other: TargetView | undefined;
};

/** Ejects the target, lifts its ejection, or leaves it as it is. */
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

/** The end of the request that a half-open target was given. */
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

/** Whether another target can take the work; one that stands out itself can't. */
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
