/** The targets of one service with what this node has seen of them. */
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
	/** Those that take work, the ones of the own data centre, and the rest. */
	views: TargetView[];
	local: TargetView[];
	remote: TargetView[];
	/** Those that membership suspects: the last resort. */
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

/** Replaces the targets; what was seen of those that stay is kept. */
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
