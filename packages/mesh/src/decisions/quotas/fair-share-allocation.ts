/**
 * Adds up the demand on full services that nodes report. Each node divides what
 * is admitted by these sums and the current shed level (`fair-share.ts`).
 *
 * Load pattern: a workspace above its share sends at few or at all nodes, so
 * that no node sees its whole demand. Only workspaces that may be above their
 * share are added up by name; all others count in the total.
 */
import {fairShareOf, type Weights} from './fair-share.js';
import {reportTimeout} from './quota-types.js';

/** The demand of one priority on a full service at a node or in a data centre, in cost units per second. */
export type LoadReport = {
	service: string;
	priority: number;
	/** The shed level of the service. */
	level: number;
	/** The demand of all workspaces. */
	total: number;
	/** What the shed level refuses of it. */
	refused: number;
	/** The demand of the workspaces that may be above their share. */
	workspaces: Array<[workspace: string, demand: number]>;
};

/** The source of a report: a node of the allocator's data centre, or another data centre as a whole. */
export type LoadReporter = {kind: 'node' | 'dataCentre'; name: string};

/** Adds up reports; times are in milliseconds of the steady clock. */
export type FairShareAllocation = {
	/** Stores a report; it replaces the previous one of the same reporter. */
	report(reporter: LoadReporter, loads: LoadReport[], now: number): void;
	/** Adds up the recent reports; called once per period. */
	update(weights: Weights, now: number): void;
	/** The sums over this data centre's nodes, for the allocators of the others. */
	sums(now: number): LoadReport[];
	/** The sums over all reporters, with the workspaces that may be above their share, as of the last update. */
	totals(): LoadReport[];
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
type Report = {kind: LoadReporter['kind']; at: number; loads: LoadReport[]};

/** Creates an allocation without reports. */
export function createFairShareAllocation(): FairShareAllocation {
	const reports = new Map<string, Report>();
	let totals: LoadReport[] = [];

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
				level: 0,
				total: 0,
				refused: 0,
				workspaces: [],
			};
			const demands = byName.get(key) ?? new Map<string, number>();
			const total = sum.total + load.total;
			sum.level +=
				total > 0 ? ((load.level - sum.level) * load.total) / total : 0;
			sum.total = total;
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

	return {
		report({kind, name}, loads, now) {
			reports.set(`${kind} ${name}`, {kind, at: now, loads});
		},
		update(weights, now) {
			totals = [...sumsOf(listLive(now)).values()].map((load) => ({
				...load,
				workspaces: listAbove(load, weights),
			}));
		},
		sums: (now) => [
			...sumsOf(listLive(now).filter(({kind}) => kind === 'node')).values(),
		],
		totals: () => totals,
		reportingNodes: (now) =>
			listLive(now).filter(({kind}) => kind === 'node').length,
		clear() {
			reports.clear();
			totals = [];
		},
	};
}

function keyOf({
	service,
	priority,
}: Pick<LoadReport, 'service' | 'priority'>): string {
	return `${priority} ${service}`;
}

/** The workspaces whose demand is near or above their share; those that the configuration no longer has are dropped. */
function listAbove(
	{total, refused, workspaces}: LoadReport,
	weights: Weights,
): LoadReport['workspaces'] {
	const known = workspaces.filter(([workspace]) => weights.has(workspace));
	const share = fairShareOf(
		{total, admitted: total - refused, listed: new Map(known)},
		weights,
	);
	return known.filter(
		([workspace, demand]) =>
			demand >= listedRatio * share * weights.get(workspace)!,
	);
}

function listLargest(demands: Map<string, number>): LoadReport['workspaces'] {
	return [...demands]
		.toSorted(([, left], [, right]) => right - left)
		.slice(0, maxListed);
}
