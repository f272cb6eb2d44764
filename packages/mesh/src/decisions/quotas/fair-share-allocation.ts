/**
 * Adds up the demand on full services that nodes report, and decides the fair
 * shares of workspaces (`fair-share.ts`).
 *
 * Load pattern: a workspace above its share sends at few or at all nodes, so
 * that no node sees its whole demand. Only workspaces that may be above their
 * share are added up by name; all others count in the total.
 */
import {
	divideByShare,
	fairShareOf,
	type FairDivision,
	type Weights,
} from './fair-share.js';
import {reportTimeout} from './quota-types.js';

/** The demand of one priority on a full service at a node or in a data centre, in cost units per second. */
export type LoadReport = {
	service: string;
	priority: number;
	/** The demand of all workspaces. */
	total: number;
	/** What the shed level refuses of it. */
	refused: number;
	/** The demand of the largest workspaces and of those that the allocator has listed. */
	workspaces: Array<[workspace: string, demand: number]>;
};

/** The decision about one priority of a full service. */
export type PriorityShares = FairDivision & {
	service: string;
	priority: number;
	/** The demand of all workspaces at all nodes, in cost units per second. */
	total: number;
};

/** The source of a report: a node of the allocator's data centre, or another data centre as a whole. */
export type LoadReporter = {kind: 'node' | 'dataCentre'; name: string};

/** Adds up reports and decides; times are in milliseconds of the steady clock. */
export type FairShareAllocation = {
	/** Stores a report; it replaces the previous one of the same reporter. */
	report(reporter: LoadReporter, loads: LoadReport[], now: number): void;
	/** Decides from the recent reports; called once per period. */
	update(weights: Weights, now: number): void;
	/** The sums over this data centre's nodes, for the allocators of the others. */
	sums(now: number): LoadReport[];
	/** The shares as of the last update. */
	shares(): PriorityShares[];
	/** The number of nodes of this data centre with a recent report. */
	reportingNodes(now: number): number;
	/** Drops all state. */
	clear(): void;
};

/**
 * The demand from which a workspace is listed, as a fraction of its share: its
 * demand may grow by this much between two reports before it is known by name.
 */
export const listedRatio = 0.5;
/** The maximum number of listed workspaces per priority of a service, which bounds the messages. */
const maxListed = 64;
/**
 * The weight of a higher share in the moving average, which damps oscillation:
 * with one update per 400 ms, a step is followed within 2 s. A lower share
 * applies at once, because the others would be refused the difference.
 */
const shareWeight = 0.5;

type Report = {kind: LoadReporter['kind']; at: number; loads: LoadReport[]};

/** Creates an allocation without reports. */
export function createFairShareAllocation(): FairShareAllocation {
	const reports = new Map<string, Report>();
	let decided = new Map<string, PriorityShares>();

	const listLive = (now: number): Report[] => {
		for (const [key, {at}] of reports) {
			if (now - at >= reportTimeout) {
				reports.delete(key);
			}
		}

		return [...reports.values()];
	};

	const sumsOf = (live: Report[]): Map<string, LoadReport> => {
		const sums = new Map<string, LoadReport>();
		const byName = new Map<string, Map<string, number>>();
		for (const load of live.flatMap(({loads}) => loads)) {
			const key = keyOf(load);
			const sum = sums.get(key) ?? {
				...load,
				total: 0,
				refused: 0,
				workspaces: [],
			};
			const demands = byName.get(key) ?? new Map<string, number>();
			sum.total += load.total;
			sum.refused += load.refused;
			for (const [workspace, demand] of load.workspaces) {
				demands.set(workspace, (demands.get(workspace) ?? 0) + demand);
			}

			sums.set(key, sum);
			byName.set(key, demands);
		}

		for (const [key, demands] of byName) {
			sums.get(key)!.workspaces = listLargest(demands);
		}

		return sums;
	};

	const decide = (load: LoadReport, weights: Weights): PriorityShares => {
		const {service, priority, total, refused} = load;
		const listed = new Map(
			load.workspaces.filter(([workspace]) => weights.has(workspace)),
		);
		const demand = {total, admitted: Math.max(0, total - refused), listed};
		const share = fairShareOf(demand, weights);
		const previous = decided.get(keyOf(load))?.share ?? share;
		const smoothed = Math.min(
			share,
			previous + shareWeight * (share - previous),
		);
		for (const [workspace, requested] of listed) {
			if (requested < listedRatio * smoothed * (weights.get(workspace) ?? 1)) {
				listed.delete(workspace);
			}
		}

		return {
			service,
			priority,
			total,
			...divideByShare(demand, weights, smoothed),
		};
	};

	return {
		report({kind, name}, loads, now) {
			reports.set(`${kind} ${name}`, {kind, at: now, loads});
		},
		update(weights, now) {
			decided = new Map(
				[...sumsOf(listLive(now))].map(([key, load]) => [
					key,
					decide(load, weights),
				]),
			);
		},
		sums: (now) => [
			...sumsOf(listLive(now).filter(({kind}) => kind === 'node')).values(),
		],
		shares: () => [...decided.values()],
		reportingNodes: (now) =>
			listLive(now).filter(({kind}) => kind === 'node').length,
		clear() {
			reports.clear();
			decided.clear();
		},
	};
}

function keyOf({
	service,
	priority,
}: Pick<LoadReport, 'service' | 'priority'>): string {
	return `${priority} ${service}`;
}

function listLargest(demands: Map<string, number>): LoadReport['workspaces'] {
	return [...demands]
		.toSorted(([, left], [, right]) => right - left)
		.slice(0, maxListed);
}
