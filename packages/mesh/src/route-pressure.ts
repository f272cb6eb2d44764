/** How much of each kind of new work is to be refused, by the levels that targets report and the call graph. */
import type {Clock} from '@egretspoke/shared';
import type {CallGraph} from './decisions/call-graph.js';
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {
	orderLoad,
	shareRefused,
	wholeLoad,
	type LoadDemand,
	type ShedSlice,
} from './decisions/shed-order.js';

/** What the pressure needs. */
export type RoutePressureOptions = {
	clock: Clock;
	graph: CallGraph;
	policy: Pick<MeshPolicy, 'has'>;
	/** Services with the mean shed level of their targets. */
	levels: () => Map<string, number>;
};

/** New work as far as it matters for who is refused. */
export type NewWork = {
	route: string;
	/** The service that the route chose. */
	service: string;
	/** 0 is the highest. */
	priority: number;
};

/** The pressure on the work that callers ask for at one node. */
export type RoutePressure = {
	/** A caller asks for the work. */
	recordRequest(work: NewWork): void;
	/** The share of such work that is refused, for the sake of any service that it needs. */
	shareRefused(work: NewWork): number;
	/** Forgets a part of what was asked for; to be called in each period. */
	refresh(): void;
};

/** Milliseconds between two refreshes. */
export const pressureRefreshInterval = 600;
/** Milliseconds for which the levels are taken as they were. */
const levelCacheDuration = 50;
/** The part of the counted requests that each period leaves: some ten seconds count. */
const memory = 0.95;
/** Requests below which a kind is forgotten. */
const minRequests = 0.01;

type RecentWork = NewWork & {requests: number};

type OverloadedService = {service: string; level: number};

type SlicesByKind = Map<string, ShedSlice[]>;

/** Creates the pressure of a node that nobody has asked yet. */
export function createRoutePressure({
	clock,
	graph,
	policy,
	levels,
}: RoutePressureOptions): RoutePressure {
	const recentWork = new Map<string, RecentWork>();
	/** By the service that is full, worked out when it is needed. */
	const slicesByService = new Map<string, SlicesByKind>();
	let overloaded: OverloadedService[] = [];
	let levelsReadAt = Number.NEGATIVE_INFINITY;

	const listOverloaded = (): OverloadedService[] => {
		const now = clock.now();
		if (now - levelsReadAt >= levelCacheDuration) {
			levelsReadAt = now;
			overloaded = [...levels()]
				.filter(([, level]) => level > 0)
				.map(([service, level]) => ({service, level}));
		}

		return overloaded;
	};

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

	/** Work of which too little is known may need any service. */
	const mayNeed = ({route, service: first}: NewWork, service: string) =>
		first === service ||
		!policy.has('levelByRoute') ||
		!graph.isKnown(route, first);

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
			let share = 0;
			for (const {service, level} of listOverloaded()) {
				const slices = slicesAt(service, kindOf(work));
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
