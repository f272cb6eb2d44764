/**
 * Divides what a full service admits of one priority among workspaces.
 *
 * Load pattern: a service is full, and one to three workspaces send several
 * times their usual demand. If all requests are refused alike, the others lose
 * as large a fraction of their requests as those that cause the overload. So
 * the shares are weighted max-min fair: who demands less than its share is
 * admitted in full, and what it leaves is divided among the rest.
 */

/** The demand of one priority on a full service, in cost units per second. */
export type PriorityDemand = {
	/** The demand of all workspaces. */
	total: number;
	/** What the shed level of the service admits of it. */
	admitted: number;
	/** The demand of the workspaces that may be above their share. */
	listed: ReadonlyMap<string, number>;
};

/** The weights of all workspaces of the configuration. */
export type Weights = ReadonlyMap<string, number>;

/** A division of the admitted demand. */
export type FairDivision = {
	/** The fair share per unit of weight, in cost units per second. */
	share: number;
	/** The ratio of its demand that may be admitted, by listed workspace; 1 below the share. */
	admitted: Map<string, number>;
	/** The same ratio for each workspace that is not listed. */
	othersAdmitted: number;
};

/** Calculates the fair share per unit of weight by water filling; infinite if all demand is admitted. */
export function fairShareOf(
	{total, admitted, listed}: PriorityDemand,
	weights: Weights,
): number {
	if (admitted >= total) {
		return Number.POSITIVE_INFINITY;
	}

	const byRatio = [...listed]
		.map(([workspace, demand]) => ({
			demand,
			weight: weightOf(weights, workspace),
		}))
		.toSorted(
			(left, right) => left.demand / left.weight - right.demand / right.weight,
		);
	let weight = sum(byRatio.map((item) => item.weight));
	let available = admitted - othersOf({total, listed});
	// With no demand unlisted below its share, the share can't be less than an equal part.
	const minShare = admitted / Math.max(1, sum(weights.values()));
	for (const item of byRatio) {
		const share = available / weight;
		if (item.demand / item.weight >= share) {
			return Math.max(minShare, share);
		}

		available -= item.demand;
		weight -= item.weight;
	}

	// Reached with nothing listed, or when less than a rounding error is refused.
	const largest = byRatio.at(-1);
	return Math.max(minShare, largest ? largest.demand / largest.weight : 0);
}

/**
 * Divides the admitted demand at a given share. If too few workspaces are
 * listed, the others are refused the rest, so that the sum stays the same.
 */
export function divideByShare(
	demand: PriorityDemand,
	weights: Weights,
	share: number,
): FairDivision {
	const admitted = new Map<string, number>();
	let left = demand.admitted;
	for (const [workspace, requested] of demand.listed) {
		const limit = share * weightOf(weights, workspace);
		const ratio = requested <= limit ? 1 : limit / requested;
		admitted.set(workspace, ratio);
		left -= ratio * requested;
	}

	const others = othersOf(demand);
	const othersAdmitted =
		others <= 0 ? 1 : Math.min(1, Math.max(0, left / others));
	return {share, admitted, othersAdmitted};
}

function othersOf({
	total,
	listed,
}: Pick<PriorityDemand, 'total' | 'listed'>): number {
	return Math.max(0, total - sum(listed.values()));
}

function weightOf(weights: Weights, workspace: string): number {
	return weights.get(workspace) ?? 1;
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
