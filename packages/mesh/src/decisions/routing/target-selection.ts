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
	const field = compare(candidates);
	const {local} = field;
	if (local && field.weigh(local) < nearOccupancyThreshold) {
		return local;
	}

	const withRoom: T[] = [];
	const near: T[] = [];
	const far: T[] = [];
	for (const candidate of candidates) {
		if (!field.isEligible(candidate)) {
			continue;
		}

		(candidate.isNear ? near : far).push(candidate);
		if (candidate.isNear && field.weigh(candidate) < nearOccupancyThreshold) {
			withRoom.push(candidate);
		}
	}

	return (
		drawBetter(withRoom, field, random) ??
		chooseNearOrFar(
			// Near and far targets are drawn separately: in a common draw, a third of the
			// pairs are two far targets, and most calls of a full service would cross
			// needlessly.
			drawBetter(near, field, random),
			drawBetter(far, field, random),
			field,
			bodyBytes,
		)
	);
}

/** What the candidates of one selection have in common. */
class Field<T extends Candidate> {
	/** Whether doubtful candidates are skipped, because there are others. */
	hasTrusted = false;
	local: T | undefined = undefined;
	minFailures = Number.POSITIVE_INFINITY;
	minRunTime = Number.POSITIVE_INFINITY;

	isEligible({isDoubtful}: T): boolean {
		return !(isDoubtful && this.hasTrusted);
	}

	/**
	 * The occupancy of a candidate, increased by what is bad about it alone:
	 * failures and run time that all targets share come from deeper services and
	 * don't distinguish the targets.
	 */
	weigh({occupancy, failureShare, runTime}: T): number {
		return (
			occupancy +
			failureShare -
			this.minFailures +
			slownessOf(runTime, this.minRunTime)
		);
	}
}

function compare<T extends Candidate>(candidates: T[]): Field<T> {
	const field = new Field<T>();
	for (const {isDoubtful} of candidates) {
		field.hasTrusted ||= !isDoubtful;
	}

	for (const candidate of candidates) {
		if (field.isEligible(candidate)) {
			const {failureShare, runTime, isLocal} = candidate;
			field.minFailures = Math.min(field.minFailures, failureShare);
			field.minRunTime = Math.min(
				field.minRunTime,
				runTime || Number.POSITIVE_INFINITY,
			);
			field.local = isLocal ? candidate : field.local;
		}
	}

	return field;
}

function slownessOf(runTime: number, minRunTime: number): number {
	const factor = runTime / (minRunTime * usualSpeedRatio);
	return factor > 1 ? slownessCost * Math.log2(factor) : 0;
}

function chooseNearOrFar<T extends Candidate>(
	near: T | undefined,
	far: T | undefined,
	field: Field<T>,
	bodyBytes: number,
): T | undefined {
	if (!near || !far) {
		return near ?? far;
	}

	const crossingCost = crossingPenalty + bodyBytes / bytesPerPenalty;
	return field.weigh(near) <= field.weigh(far) + crossingCost ? near : far;
}

/**
 * Returns the less occupied of two random candidates. The best of all would get
 * the work of every node at once, because all nodes see the same report
 * (Mitzenmacher, "The Power of Two Choices", 2001).
 */
function drawBetter<T extends Candidate>(
	candidates: T[],
	field: Field<T>,
	random: Random,
): T | undefined {
	const count = candidates.length;
	if (count < 2) {
		return candidates[0];
	}

	const first = random.below(count);
	const second = (first + 1 + random.below(count - 1)) % count;
	const [left, right] = [candidates[first]!, candidates[second]!];
	return field.weigh(left) <= field.weigh(right) ? left : right;
}
