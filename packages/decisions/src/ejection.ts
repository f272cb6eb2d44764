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
 * least two targets are needed to tell an outlier, slowness ejects only while
 * the others have room for its work, and when fewer than half of the group may
 * be chosen, ejections don't count at all (panic rule).
 *
 * Thresholds: three times the typical duration, as an average over sixteen, is
 * beyond what chance gives; half of sixteen requests failed likewise. The
 * first ejection lasts two seconds, each further one in a row twice as long up
 * to half a minute: a target that stays slow then costs one request a node and
 * half minute.
 */
import {
	noteSlowness,
	pressureOf,
	slownessOf,
	type TargetView,
} from './target-view.js';

const slowFactor = 3;
const failureShare = 0.5;
const firstTime = 2000;
const longestTime = 30_000;
const ceilingShare = 1 / 3;
/** Above this load for each slot the others have no room for the work of one more. */
const roomPressure = 0.8;

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

/** Whether the target stands out by failures, or by slowness. */
export function isOutlier(view: TargetView, now: number): boolean {
	return view.failures > failureShare || slownessOf(view, now) > slowFactor;
}

/** Ejects the target if it stands out and the group allows it. */
export function considerEjection(
	group: EjectionGroup,
	view: TargetView,
	other: TargetView | undefined,
	now: number,
): boolean {
	if (
		now < view.ejectedUntil ||
		!isOutlier(view, now) ||
		!hasPlace(group, view)
	) {
		return false;
	}

	const isOnlySlow = view.failures <= failureShare;
	if (isOnlySlow && other && pressureOf(other, now) > roomPressure) {
		return false;
	}

	view.ejections++;
	view.ejectedUntil =
		now + Math.min(longestTime, firstTime * 2 ** (view.ejections - 1));
	group.ejected.add(view);
	return true;
}

/** An ordinary answer of a half-open target lifts its ejection. */
export function considerReturn(
	group: EjectionGroup,
	view: TargetView,
	ratio: number,
	now: number,
): void {
	if (view.ejections === 0 || now < view.ejectedUntil) {
		return;
	}

	if (ratio <= slowFactor) {
		view.ejections = 0;
		view.ejectedUntil = 0;
		view.failures = 0;
		view.slownessLog = 0;
		view.ends = 0;
		group.ejected.delete(view);
		noteSlowness(view, ratio, now);
	}
}

function hasPlace({views, ejected}: EjectionGroup, view: TargetView): boolean {
	if (views.length < 2 || ejected.has(view)) {
		return views.length >= 2;
	}

	const ceiling = Math.max(
		views.length >= 3 ? 1 : 0,
		Math.floor(views.length * ceilingShare),
	);
	return ejected.size < ceiling;
}
