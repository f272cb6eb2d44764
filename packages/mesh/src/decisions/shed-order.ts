/**
 * Which routes of one priority are refused first.
 *
 * Load pattern: a deep service is full, and within one priority some requests
 * cost it ten times as much as others. Refused alike, the cheap go with the
 * dear although refusing them frees next to nothing; users of a command that
 * needs one call are turned away for the sake of pages that need eight. So the
 * dear are refused first, and each route takes the part of the priority that
 * its share of the load fills: however the level moves, it frees the same.
 */

/** What a route brings to the service that is full. */
export type RouteDemand = {
	route: string;
	/** Requests in some time, the same for all. */
	requests: number;
	/** Milliseconds of slots that a request takes there. */
	cost: number;
};

/** The part of a priority in which a route is refused, from 0 to 1. */
export type ShedSlice = {start: number; width: number};

/** The whole priority, for routes of which nothing is known. */
export const wholeSlice: ShedSlice = {start: 0, width: 1};

/** The least part that a route takes, so that its share moves with the level and doesn't jump. */
const leastWidth = 0.02;

/** The slices of routes of one priority; routes that cost the service nothing have none. */
export function orderByCost(demands: RouteDemand[]): Map<string, ShedSlice> {
	const concerned = demands
		.filter(({requests, cost}) => requests > 0 && cost > 0)
		.toSorted((left, right) => right.cost - left.cost);
	const loadOf = ({requests, cost}: RouteDemand) => requests * cost;
	const total = concerned.reduce((sum, demand) => sum + loadOf(demand), 0);
	const slices = new Map<string, ShedSlice>();
	let start = 0;
	for (const demand of concerned) {
		const share = loadOf(demand) / total;
		const width = Math.max(leastWidth, share);
		slices.set(demand.route, {start: Math.min(start, 1 - width), width});
		start += share;
	}

	return slices;
}

/** How far the level has gone into a slice, from 0 to 1; `level` counts from the beginning of the priority. */
export function shareOfSlice(level: number, {start, width}: ShedSlice): number {
	return Math.min(1, Math.max(0, (level - start) / width));
}
