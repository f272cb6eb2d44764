/**
 * Applies the fair shares of workspaces to the new work of one entry node: what
 * the shed level of a full service refuses of a priority is refused to the
 * workspaces above their share.
 *
 * The sums over all nodes are some 800 ms old, the shed level is current. So
 * each node divides by the current level: a division made elsewhere would delay
 * the effect of the level, and the load would oscillate.
 */
import type {Clock} from '@egretspoke/shared';
import type {CostAt} from '../decisions/admission/call-graph.js';
import {
	orderLoad,
	shareRefused,
	wholeLoad,
	type ShedSlice,
} from '../decisions/admission/shed-order.js';
import {
	divideByShare,
	fairShareOf,
	type FairDivision,
} from '../decisions/quotas/fair-share.js';
import type {LoadReport} from '../decisions/quotas/fair-share-allocation.js';
import type {
	FairShareExchange,
	LocalLoad,
} from '../quotas/fair-share-exchange.js';
import type {NewWork, OverloadedService} from './route-pressure.js';

/** The sums over all nodes, and the weights of workspaces. */
export type FairShareSource = Pick<FairShareExchange, 'totalsOf' | 'weights'>;

/** Dependencies of the workspace pressure. */
export type WorkspacePressureOptions = {
	clock: Clock;
	source: FairShareSource;
	overloaded: () => OverloadedService[];
	/** The cost of work at a service. */
	costsAt: (service: string) => CostAt;
	/** The share of the work that the level of the service refuses. */
	refusedByLevel: (overloaded: OverloadedService, work: NewWork) => number;
};

/** The fair shares of workspaces, as they apply to the requests of one entry node. */
export type WorkspacePressure = {
	record(work: NewWork): void;
	/** The share of the work that is refused; undefined if the level alone decides. */
	shareRefused(
		overloaded: OverloadedService,
		work: NewWork,
	): number | undefined;
	/** The demand on full services since the last call; undefined while no service is full. */
	takeLoads(): LocalLoad[] | undefined;
	/** The number of workspaces above their share of a full service. */
	aboveShare(): number;
};

/** The averaging time of demand, in milliseconds: a step is followed within 2 s together with two exchanges of 400 ms. */
const averagingTime = 1000;
/** The rate below which work is dropped, in requests per second. */
const minRate = 0.02;
const millisecondsPerSecond = 1000;

type RecentWork = {work: NewWork; requests: number; rate: number};
type GrowingLoad = LocalLoad & {workspaces: Map<string, number>};
type Division = {level: number; sums: LoadReport; division: FairDivision};

/** Creates the pressure of a node without recorded work. */
export function createWorkspacePressure({
	clock,
	source,
	overloaded,
	costsAt,
	refusedByLevel,
}: WorkspacePressureOptions): WorkspacePressure {
	/** By workspace, then by priority and route. */
	const recent = new Map<string, Map<string, RecentWork>>();
	let updatedAt: number | undefined;
	/** The demand as of the last call of `takeLoads`, by service and priority. */
	let loads = new Map<string, GrowingLoad>();
	/** The rates of all workspaces together, by priority and route. */
	const byKind = new Map<string, Pick<RecentWork, 'work' | 'rate'>>();
	const divisions = new Map<string, Division>();
	/** The shed order of one workspace's work, by service, priority and workspace. */
	const slices = new Map<string, Map<string, ShedSlice[]>>();

	const clear = () => {
		recent.clear();
		byKind.clear();
		loads.clear();
		divisions.clear();
		slices.clear();
		updatedAt = undefined;
	};

	/** A first measurement counts in full. */
	const updateRates = (now: number) => {
		const elapsed = Math.max(1, now - (updatedAt ?? now));
		updatedAt = now;
		byKind.clear();
		for (const [workspace, kinds] of recent) {
			for (const [kind, entry] of kinds) {
				const rate = (entry.requests * millisecondsPerSecond) / elapsed;
				const weight = loads.size > 0 ? elapsed / averagingTime : 1;
				entry.rate += Math.min(1, weight) * (rate - entry.rate);
				entry.requests = 0;
				if (entry.rate < minRate) {
					kinds.delete(kind);
				}

				const rateOfAll = (byKind.get(kind)?.rate ?? 0) + entry.rate;
				byKind.set(kind, {work: entry.work, rate: rateOfAll});
			}

			if (kinds.size === 0) {
				recent.delete(workspace);
			}
		}
	};

	const addLoads = (full: OverloadedService): void => {
		const costAt = costsAt(full.service);
		for (const [workspace, kinds] of recent) {
			for (const {work, rate} of kinds.values()) {
				const load = rate * costAt(work.route, work.service);
				if (load > 0) {
					const sum = loadOf(full, work.priority);
					const known = sum.workspaces.get(workspace) ?? 0;
					sum.workspaces.set(workspace, known + load);
					sum.total += load;
					sum.refused += load * refusedByLevel(full, work);
				}
			}
		}
	};

	const loadOf = (
		{service, level}: OverloadedService,
		priority: number,
	): GrowingLoad => {
		const key = keyOf(service, priority);
		let load = loads.get(key);
		if (!load) {
			load = {
				service,
				priority,
				level,
				total: 0,
				refused: 0,
				workspaces: new Map(),
			};
			loads.set(key, load);
		}

		return load;
	};

	/** The part of this node's demand of the priority that a level admits. */
	const admittedRatio = (full: OverloadedService, priority: number): number => {
		const costAt = costsAt(full.service);
		let total = 0;
		let refused = 0;
		for (const {work, rate} of byKind.values()) {
			if (work.priority === priority) {
				const load = rate * costAt(work.route, work.service);
				total += load;
				refused += load * refusedByLevel(full, work);
			}
		}

		return total > 0 ? 1 - refused / total : 1;
	};

	/**
	 * What the current level admits over all nodes. The mix of routes here
	 * differs from that of all nodes, so this node's ratio is corrected by its
	 * ratio at the level at which the sums were reported.
	 */
	const admittedNow = (full: OverloadedService, sums: LoadReport): number => {
		const {service, priority, level, total, refused} = sums;
		const now = admittedRatio(full, priority);
		const atReport = admittedRatio({service, level}, priority);
		const ratio = atReport > 0 ? now / atReport : 1;
		return Math.min(total, (total - refused) * ratio);
	};

	const divide = (
		full: OverloadedService,
		priority: number,
	): FairDivision | undefined => {
		const sums = source.totalsOf(full.service, priority);
		if (!sums || sums.total === 0) {
			return undefined;
		}

		const key = keyOf(full.service, priority);
		const known = divisions.get(key);
		if (known?.level === full.level && known.sums === sums) {
			return known.division;
		}

		const demand = {
			total: sums.total,
			admitted: admittedNow(full, sums),
			listed: new Map(sums.workspaces),
		};
		const weights = source.weights();
		const division = divideByShare(
			demand,
			weights,
			fairShareOf(demand, weights),
		);
		divisions.set(key, {level: full.level, sums, division});
		return division;
	};

	/** Within a workspace, what costs the service most is refused first. */
	const slicesOf = (service: string, work: NewWork): ShedSlice[] => {
		const key = `${keyOf(service, work.priority)} ${work.workspace}`;
		let ordered = slices.get(key);
		if (!ordered) {
			const costAt = costsAt(service);
			const kinds = recent.get(work.workspace!)?.values() ?? [];
			ordered = orderLoad(
				[...kinds]
					.filter((entry) => entry.work.priority === work.priority)
					.map(({work: {route, service: first, priority}, rate}) => ({
						kind: route,
						priority,
						requests: rate,
						cost: costAt(route, first),
					})),
			);
			slices.set(key, ordered);
		}

		return ordered.get(work.route) ?? wholeLoad;
	};

	return {
		record(work) {
			if (work.workspace === undefined || overloaded().length === 0) {
				return;
			}

			updatedAt ??= clock.now();
			const kinds = recent.get(work.workspace) ?? new Map<string, RecentWork>();
			const kind = `${work.priority} ${work.route}`;
			const entry = kinds.get(kind) ?? {work, requests: 0, rate: 0};
			entry.requests++;
			kinds.set(kind, entry);
			recent.set(work.workspace, kinds);
		},
		shareRefused(full, work) {
			const division =
				work.workspace === undefined ? undefined : divide(full, work.priority);
			if (!division) {
				return undefined;
			}

			const admitted =
				division.admitted.get(work.workspace!) ?? division.othersAdmitted;
			return admitted === 1
				? 0
				: shareRefused(1 - admitted, slicesOf(full.service, work));
		},
		takeLoads() {
			if (overloaded().length === 0) {
				clear();
				return undefined;
			}

			updateRates(clock.now());
			loads = new Map();
			divisions.clear();
			slices.clear();
			for (const full of overloaded()) {
				addLoads(full);
			}

			return [...loads.values()];
		},
		aboveShare() {
			const names = new Set<string>();
			for (const {division} of divisions.values()) {
				for (const [workspace, ratio] of division.admitted) {
					if (ratio < 1) {
						names.add(workspace);
					}
				}
			}

			return names.size;
		},
	};
}

function keyOf(service: string, priority: number): string {
	return `${priority} ${service}`;
}
