/**
 * Determines which share of each kind of new work an entry node sheds, from the
 * shed levels reported by targets and the call graph.
 */
import type {Clock} from '@egretspoke/shared';
import type {CallGraph, CostAt} from '../decisions/admission/call-graph.js';
import type {DecliningService} from '../decisions/admission/completion-chance.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import type {LocalLoad} from '../quotas/fair-share-exchange.js';
import {
	orderLoad,
	shareRefused,
	wholeLoad,
	type LoadDemand,
	type ShedSlice,
} from '../decisions/admission/shed-order.js';
import {createCompletionPressure} from './completion-pressure.js';
import {createHeldPressure} from './held-pressure.js';
import {
	createWorkspacePressure,
	type FairShareSource,
} from './workspace-pressure.js';

/** Dependencies of the route pressure. */
export type RoutePressureOptions = {
	clock: Clock;
	graph: CallGraph;
	policy: Pick<MeshPolicy, 'has'>;
	/** Services with the mean shed level of their targets. */
	levels: () => Map<string, number>;
	/** Services that decline calls; none by default. */
	declining?: () => ReadonlyMap<string, DecliningService>;
	/** The levels of services for the requests that make calls there; none by default. */
	heldLevels?: () => ReadonlyMap<string, number>;
	/** The demand of workspaces over all nodes; absent where workspaces share nothing. */
	fairShares?: FairShareSource;
};

/** The properties of new work that decide whether it is shed. */
export type NewWork = {
	route: string;
	/** The service selected by the route. */
	service: string;
	/** 0 is the highest. */
	priority: number;
	/** The name of the workspace that sent it; undefined without workspaces and for public routes. */
	workspace: string | undefined;
};

/** The overload of services, as it applies to the requests of one entry node. */
export type RoutePressure = {
	recordRequest(work: NewWork): void;
	/** The share of such work that is shed, from 0 to 1: the maximum over the services it needs. */
	shareRefused(work: NewWork): number;
	/** Whether the level of a service that the work needs is above 0. */
	isShedding(work: NewWork): boolean;
	/** The demand of workspaces on full services since the last call; undefined while no service is full. */
	takeWorkspaceLoads(): LocalLoad[] | undefined;
	/** The number of workspaces above their share of a full service. */
	workspacesAboveShare(): number;
	/** Decays the request counts; called once per `pressureRefreshInterval`. */
	refresh(): void;
};

/** Interval between refreshes, in milliseconds. */
export const pressureRefreshInterval = 600;
/** Milliseconds for which the levels are cached. */
const levelCacheDuration = 50;
/** Decay factor of the request counts per refresh, which makes a window of about ten seconds. */
const memory = 0.95;
/** Decayed count below which a kind of work is dropped. */
const minRequests = 0.01;

/** A kind of new work, and its decayed number of requests. */
export type RecentWork = NewWork & {requests: number};

/** One reason to refuse new work; the largest share applies. */
export type SharePressure = {
	/** Reads the current state of the services; called before shares are asked for, at most once per `levelCacheDuration`. */
	read(): void;
	shareRefused(work: NewWork, kind: string): number;
	/** Discards what depends on the recent work. */
	refresh(): void;
};

/** A service with a level above 0. */
export type OverloadedService = {service: string; level: number};

type SlicesByKind = Map<string, ShedSlice[]>;

/** Creates the pressure of a node without recorded requests. */
export function createRoutePressure({
	clock,
	graph,
	policy,
	levels,
	declining,
	heldLevels,
	fairShares,
}: RoutePressureOptions): RoutePressure {
	const recentWork = new Map<string, RecentWork>();
	/** The shed order by overloaded service, computed on demand. */
	const slicesByService = new Map<string, SlicesByKind>();
	let overloaded: OverloadedService[] = [];
	let readAt = Number.NEGATIVE_INFINITY;

	const costsAt = (service: string): CostAt =>
		policy.has('dearFirst') ? graph.costsOf(service) : () => 1;

	const orderDemands = (service: string): SlicesByKind => {
		const costAt = costsAt(service);
		const demands: LoadDemand[] = [];
		for (const [
			kind,
			{route, service: first, priority, requests},
		] of recentWork) {
			demands.push({kind, priority, requests, cost: costAt(route, first)});
		}

		return orderLoad(demands);
	};

	const slicesAt = (service: string, kind: string): ShedSlice[] | undefined => {
		let slices = slicesByService.get(service);
		if (!slices) {
			slices = orderDemands(service);
			slicesByService.set(service, slices);
		}

		return slices.get(kind);
	};

	/** Work with an unknown call graph may need any service. */
	const mayNeed = ({route, service: first}: NewWork, service: string) =>
		first === service ||
		!policy.has('levelByRoute') ||
		!graph.isKnown(route, first);

	const refusedByLevel = (
		{service, level}: OverloadedService,
		work: NewWork,
	): number => {
		const slices = slicesAt(service, kindOf(work));
		if (slices) {
			return shareRefused(level, slices);
		}

		return mayNeed(work, service) ? shareRefused(level, wholeLoad) : 0;
	};

	const workspaces =
		fairShares && policy.has('fairShares')
			? createWorkspacePressure({
					clock,
					source: fairShares,
					overloaded() {
						readIfDue();
						return overloaded;
					},
					costsAt,
					refusedByLevel,
				})
			: undefined;
	const levelPressure: SharePressure = {
		read() {
			overloaded = [...levels()]
				.filter(([, level]) => level > 0)
				.map(([service, level]) => ({service, level}));
		},
		shareRefused(work) {
			let share = 0;
			for (const full of overloaded) {
				const refused =
					workspaces?.shareRefused(full, work) ?? refusedByLevel(full, work);
				share = Math.max(share, refused);
			}

			return share;
		},
		refresh() {
			slicesByService.clear();
		},
	};
	const pressures = [levelPressure];
	if (declining && policy.has('completionChance')) {
		pressures.push(createCompletionPressure({graph, declining, recentWork}));
	}

	if (heldLevels && policy.has('bulkhead')) {
		pressures.push(createHeldPressure({graph, heldLevels, recentWork}));
	}

	const readIfDue = () => {
		const now = clock.now();
		if (now - readAt >= levelCacheDuration) {
			readAt = now;
			for (const pressure of pressures) {
				pressure.read();
			}
		}
	};

	return {
		recordRequest(work) {
			workspaces?.record(work);
			const kind = kindOf(work);
			const known = recentWork.get(kind);
			if (known) {
				known.requests++;
				known.service = work.service;
			} else {
				recentWork.set(kind, {...work, requests: 1});
			}
		},
		shareRefused(work) {
			readIfDue();
			const kind = kindOf(work);
			let share = 0;
			for (const pressure of pressures) {
				share = Math.max(share, pressure.shareRefused(work, kind));
			}

			return share;
		},
		isShedding(work) {
			readIfDue();
			const kind = kindOf(work);
			return (
				overloaded.some((full) => refusedByLevel(full, work) > 0) ||
				pressures.some((pressure) => pressure.shareRefused(work, kind) > 0)
			);
		},
		takeWorkspaceLoads: () => workspaces?.takeLoads(),
		workspacesAboveShare: () => workspaces?.aboveShare() ?? 0,
		refresh() {
			for (const pressure of pressures) {
				pressure.refresh();
			}

			for (const [kind, entry] of recentWork) {
				entry.requests *= memory;
				if (entry.requests < minRequests) {
					recentWork.delete(kind);
				}
			}
		},
	};
}

function kindOf({route, priority}: NewWork): string {
	return `${priority} ${route}`;
}
