/**
 * Determines the order in which requests are refused when a part of a service's
 * load has to be shed: by priority, then by cost.
 *
 * Load pattern: a deep service is full, and the requests that lead to it differ
 * in priority and, within one priority, tenfold in their cost there. If all are
 * refused alike, refusing the cheap ones frees almost nothing: users of a
 * command that needs one call are refused in favour of pages that need eight.
 */

/** The load of one kind of request on the service that is full. */
export type LoadDemand = {
	kind: string;
	/** 0 is the highest priority; the largest value is refused first. */
	priority: number;
	/** Requests in an interval that is the same for all kinds. */
	requests: number;
	/** Milliseconds for which a request occupies slots there. */
	cost: number;
};

/** A part of a kind's requests, and the range of levels over which it is refused. */
export type ShedSlice = {start: number; width: number; part: number};

/** The slices for requests of unknown cost: the refused ratio equals the level. */
export const wholeLoad: ShedSlice[] = [{start: 0, width: 1, part: 1}];

/**
 * The parts that are refused in the first and in the last pass: a part of each
 * kind is kept until all others have shed theirs. The rest is always admitted,
 * so that callers of the least important requests are still served occasionally
 * and can tell that the service is up.
 */
type Parts = {first: number; last: number};

/** The larger part of the most important kind is kept until the last pass. */
const partsOfMostImportant: Parts = {first: 0.4, last: 0.57};
const partsOfOthers: Parts = {first: 0.8, last: 0.17};
/**
 * A kind is refused together with the next more important requests if it costs
 * this many times less: otherwise many callers would be refused to spare one of
 * them.
 */
const cheapFactor = 3;
/** The minimum width of a slice, so that its refused ratio changes gradually with the level. */
const minWidth = 0.01;

/**
 * Returns the slices of each kind; kinds that cost the service nothing have
 * none. The least important priority comes first, and within it the most
 * expensive kind. Each kind covers the range of levels that corresponds to its
 * share of the load, so that the same step of the level always frees the same
 * amount.
 */
export function orderLoad(
	demands: readonly LoadDemand[],
): Map<string, ShedSlice[]> {
	const relevant = demands
		.filter(({requests, cost}) => requests > 0 && cost > 0)
		.toSorted(
			(left, right) => right.priority - left.priority || right.cost - left.cost,
		);
	const groups = groupCheap(relevant);
	const highest = relevant.at(-1)?.priority;
	const hasOthers = groups.some(([first]) => first!.priority !== highest);
	const total = relevant.reduce((sum, demand) => sum + loadOf(demand), 0);
	const slices = new Map<string, ShedSlice[]>();
	let start = 0;
	for (const pass of ['first', 'last'] as const) {
		for (const group of groups) {
			const isMostImportant = hasOthers && group[0]!.priority === highest;
			const parts = isMostImportant ? partsOfMostImportant : partsOfOthers;
			const part = parts[pass];
			const load = group.reduce((sum, demand) => sum + loadOf(demand), 0);
			const share = (part * load) / total;
			const width = Math.max(minWidth, share);
			for (const {kind} of group) {
				const listed = slices.get(kind) ?? [];
				listed.push({start, width, part});
				slices.set(kind, listed);
			}

			start += share;
		}
	}

	return slices;
}

function loadOf({requests, cost}: LoadDemand): number {
	return requests * cost;
}

/** Groups of kinds that are refused together, in the order of refusal. */
function groupCheap(ordered: LoadDemand[]): LoadDemand[][] {
	const groups: LoadDemand[][] = [];
	for (const demand of ordered.toReversed()) {
		const next = groups[0];
		if (next && demand.cost * cheapFactor <= next[0]!.cost) {
			next.push(demand);
		} else {
			groups.unshift([demand]);
		}
	}

	return groups;
}

/** The ratio of a kind that is refused at a level. */
export function shareRefused(
	level: number,
	slices: readonly ShedSlice[],
): number {
	let share = 0;
	for (const {start, width, part} of slices) {
		share += part * Math.min(1, Math.max(0, (level - start) / width));
	}

	return share;
}
