/** The targets of one service and the statistics of this node about them. */
import type {EjectionGroup} from './ejection.js';
import {createGroupLoad, type GroupLoad} from './group-load.js';
import type {RoutingCandidate} from './policy.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {createTargetView, type TargetView} from './target-view.js';
import type {TypicalDurations} from './typical-durations.js';
import type {ServiceLevels} from './upstream-refusal.js';

/** The state of one service at an entry node. */
export type RoutingGroup = EjectionGroup & {
	byNode: Map<string, TargetView>;
	/** The active targets, those of the local data centre, and the others. */
	views: TargetView[];
	local: TargetView[];
	remote: TargetView[];
	/** The targets that membership suspects: the last resort. */
	suspect: TargetView[];
	durations: TypicalDurations;
	load: GroupLoad;
	/** The moving average of the durations of answered attempts, in milliseconds. */
	averageDuration: number;
	levels: ServiceLevels;
	budget: RetryBudget;
};

/** Creates a group without targets. */
export function createRoutingGroup(): RoutingGroup {
	return {
		byNode: new Map(),
		views: [],
		local: [],
		remote: [],
		suspect: [],
		ejected: new Set(),
		durations: new Map(),
		load: createGroupLoad(),
		averageDuration: 0,
		levels: new Map(),
		budget: createRetryBudget(),
	};
}

/** Replaces the targets; the statistics of those that stay are retained. */
export function replaceCandidates(
	group: RoutingGroup,
	candidates: RoutingCandidate[],
	dataCentre: string,
): void {
	const before = group.byNode;
	group.byNode = new Map();
	for (const candidate of candidates) {
		const view = before.get(candidate.node) ?? createTargetView(candidate);
		view.candidate = candidate;
		group.byNode.set(candidate.node, view);
	}

	const all = [...group.byNode.values()];
	group.views = all.filter(({candidate}) => candidate.state === 'active');
	group.suspect = all.filter(({candidate}) => candidate.state === 'suspect');
	group.local = group.views.filter(
		({candidate}) => candidate.dataCentre === dataCentre,
	);
	group.remote = group.views.filter(
		({candidate}) => candidate.dataCentre !== dataCentre,
	);
	for (const view of group.ejected) {
		if (!group.views.includes(view)) {
			group.ejected.delete(view);
		}
	}
}
