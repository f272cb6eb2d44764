/**
 * Selects the target of a request.
 *
 * Load pattern: targets of one service differ in speed by a factor of three,
 * and data centres have unequal numbers of them. If only near targets are used,
 * the only target of a data centre is overloaded while others idle; if always
 * the least occupied, most calls cross between data centres needlessly. So a
 * call crosses only if it saves more waiting time than the crossing costs.
 */
import type {Random} from '@egretspoke/shared';

/** A target that may be selected. */
export type Candidate = {
	node: string;
	/** It is the target of this node: no hop between nodes is needed. */
	isLocal: boolean;
	/** It is in the same data centre as this node. */
	isNear: boolean;
	/** Requests running or queued there, as far as known, divided by what it may run at once; with a rate limit, the use of that if it is higher. */
	occupancy: number;
	/** It has named a rate limit. */
	isRateLimited: boolean;
	/** The ratio of its recent answers that were failures. */
	failureShare: number;
	/** The recent duration of its runs, in milliseconds; 0 when unknown. */
	runTime: number;
	/** Its recent answers were failures, or no report has arrived for some time. */
	isDoubtful: boolean;
};

/**
 * The occupancy below which a near target is preferred: above it, a queue forms
 * within the interval between load reports.
 */
export const nearOccupancyThreshold = 0.8;
/**
 * The cost of crossing to another data centre once near targets are full, in
 * occupancy: a quarter of the target's concurrent work, some 5 to 20 ms of
 * waiting. With a higher cost, a slow near target queues work for so long that
 * its shed level rises while others have room.
 */
const crossingPenalty = 0.25;
/**
 * The body size, in bytes, that adds 1 to the cost of crossing. A large upload
 * that crosses costs its operator more than the upload is worth, so it waits for
 * a near target, within its maximum wait, rather than cross.
 */
const bytesPerPenalty = 64 * 1024;

/** The usual speed difference between targets of a service; up to this factor only the occupancy counts. */
const usualSpeedRatio = 3;
/** The occupancy added for each further doubling of a target's run time. */
const slownessCost = 0.3;

/**
 * Selects a candidate for a request with a body of `bodyBytes`; undefined when
 * there is none. The local target is used while it has room, then those of the
 * same data centre; beyond that, one of another data centre is used only if it
 * saves more waiting time than the crossing costs, which grows with the size of
 * the body.
 */
export function selectTarget<T extends Candidate>(
	candidates: T[],
	random: Random,
	bodyBytes: number,
): T | undefined {
	const trusted = candidates.filter(({isDoubtful}) => !isDoubtful);
	const usable = trusted.length > 0 ? trusted : candidates;
	const minFailures = Math.min(...usable.map(({failureShare}) => failureShare));
	const minRunTime = Math.min(
		...usable.map(({runTime}) => runTime || Number.POSITIVE_INFINITY),
	);
	// Failures and run time that all targets share come from deeper services and don't distinguish the targets.
	const weighted = usable.map((candidate) => ({
		candidate,
		weight:
			candidate.occupancy +
			candidate.failureShare -
			minFailures +
			slownessOf(candidate.runTime, minRunTime),
	}));
	const withRoom = weighted.filter(
		({candidate, weight}) =>
			candidate.isNear && weight < nearOccupancyThreshold,
	);
	const own = withRoom.find(({candidate}) => candidate.isLocal);
	const chosen =
		own ??
		drawBetter(withRoom, random) ??
		drawNearOrFar(weighted, random, bodyBytes);
	return chosen?.candidate;
}

function slownessOf(runTime: number, minRunTime: number): number {
	const factor = runTime / (minRunTime * usualSpeedRatio);
	return factor > 1 ? slownessCost * Math.log2(factor) : 0;
}

type Weighted<T> = {candidate: T; weight: number};

/**
 * Draws near and far targets separately: in a common draw, a third of the pairs
 * are two far targets, and most calls of a full service would cross needlessly.
 */
function drawNearOrFar<T extends Candidate>(
	weighted: Array<Weighted<T>>,
	random: Random,
	bodyBytes: number,
): Weighted<T> | undefined {
	const near = drawBetter(
		weighted.filter(({candidate}) => candidate.isNear),
		random,
	);
	const far = drawBetter(
		weighted.filter(({candidate}) => !candidate.isNear),
		random,
	);
	if (!near || !far) {
		return near ?? far;
	}

	const crossingCost = crossingPenalty + bodyBytes / bytesPerPenalty;
	return near.weight <= far.weight + crossingCost ? near : far;
}

/**
 * Returns the less occupied of two random candidates. The best of all would get
 * the work of every node at once, because all nodes see the same report
 * (Mitzenmacher, "The Power of Two Choices", 2001).
 */
function drawBetter<T extends Candidate>(
	weighted: Array<Weighted<T>>,
	random: Random,
): Weighted<T> | undefined {
	if (weighted.length < 2) {
		return weighted[0];
	}

	const first = random.below(weighted.length);
	const second =
		(first + 1 + random.below(weighted.length - 1)) % weighted.length;
	const [left, right] = [weighted[first]!, weighted[second]!];
	return left.weight <= right.weight ? left : right;
}
