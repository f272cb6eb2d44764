/**
 * Determines which share of each kind of new work an entry node sheds, from the
 * shed levels reported by targets and the call graph.
 */
import type {Clock} from '@egretspoke/shared';
import type {CallGraph} from '../decisions/admission/call-graph.js';
import type {DecliningService} from '../decisions/admission/completion-chance.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {
	orderLoad,
	shareRefused,
	wholeLoad,
	type LoadDemand,
	type ShedSlice,
} from '../decisions/admission/shed-order.js';
import {createCompletionPressure} from './completion-pressure.js';
import {createHeldPressure} from './held-pressure.js';

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

type OverloadedService = {service: string; level: number};

type SlicesByKind = Map<string, ShedSlice[]>;

/** Creates the pressure of a node without recorded requests. */
export function createRoutePressure({
	clock,
	graph,
	policy,
	levels,
	declining,
	heldLevels,
}: RoutePressureOptions): RoutePressure {
	const recentWork = new Map<string, RecentWork>();
	/** The shed order by overloaded service, computed on demand. */
	const slicesByService = new Map<string, SlicesByKind>();
	let overloaded: OverloadedService[] = [];
	let readAt = Number.NEGATIVE_INFINITY;

	const orderDemands = (service: string): SlicesByKind => {
		const costAt = policy.has('dearFirst') ? graph.costsOf(service) : () => 1;
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

	const levelPressure: SharePressure = {
		read() {
			overloaded = [...levels()]
				.filter(([, level]) => level > 0)
				.map(([service, level]) => ({service, level}));
		},
		shareRefused(work, kind) {
			let share = 0;
			for (const {service, level} of overloaded) {
				const slices = slicesAt(service, kind);
				if (slices) {
					share = Math.max(share, shareRefused(level, slices));
				} else if (mayNeed(work, service)) {
					share = Math.max(share, shareRefused(level, wholeLoad));
				}
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

	return {
		recordRequest(work) {
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
			const now = clock.now();
			if (now - readAt >= levelCacheDuration) {
				readAt = now;
				for (const pressure of pressures) {
					pressure.read();
				}
			}

			const kind = kindOf(work);
			let share = 0;
			for (const pressure of pressures) {
				share = Math.max(share, pressure.shareRefused(work, kind));
			}

			return share;
		},
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
