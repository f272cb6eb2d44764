/**
 * Chooses the target of a request.
 *
 * Load pattern: targets of one service differ in speed by three, and data
 * centres hold unequal shares of them. Strictly near, the only target of a
 * data centre drowns while others idle; always the emptiest, most calls cross
 * between data centres for nothing. So the target beside the caller's own node
 * is used while it has room, then those of its data centre, and from then on
 * another data centre's only when that spares more wait than the way is worth,
 * which grows with the bytes that have to cross.
 *
 * Of two that are drawn at random, the less occupied is taken: the best of
 * all would get the work of every node at once, since they all see the same
 * report (Mitzenmacher, "The Power of Two Choices", 2001). Near and far are drawn
 * apart: drawn together, two far targets meet in a third of the draws, and most
 * calls of a full service cross for nothing.
 */
import type {Random} from '@egretspoke/shared';

/** What is known of a target that may be chosen. */
export type Candidate = {
	node: string;
	/** It is beside this node: no hop between nodes is needed. */
	isLocal: boolean;
	/** It is in this node's data centre. */
	isNear: boolean;
	/** Requests in it or waiting for it, as far as known, over what it may run at once. */
	occupancy: number;
	/** The share of its latest answers that were failures. */
	failureShare: number;
	/** Milliseconds that it takes for a request lately, 0 when unknown. */
	runTime: number;
	/** Answers were failures lately, or nothing has been heard of it for a while. */
	isDoubtful: boolean;
};

/**
 * The occupancy up to which a near target is preferred: above it, a queue
 * forms within the time in which reports are renewed.
 */
export const nearOccupancyThreshold = 0.8;
/**
 * The occupancy that a crossing between data centres is worth once near
 * targets are full: a quarter of a round of the target's work, some 5 to 20 ms
 * of wait. If it is worth more, a slow near target waits so long that its shed
 * level rises while others have room.
 */
const distancePenalty = 0.25;
/**
 * Bytes of a body that make a crossing worth one more round of work. A large
 * upload that crosses costs its operator more than the upload is worth, so it
 * waits for a near target, within its patience, rather than cross.
 */
const bytesPerRound = 64 * 1024;

/** Targets of one service differ in speed; up to this factor between them, only their occupancy counts. */
const usualSpread = 3;
/** The occupancy that each further doubling of a target's time counts for. */
const slownessCost = 0.3;

/** The chosen candidate for a request with a body of so many bytes; undefined when there is none. */
export function selectTarget<T extends Candidate>(
	candidates: T[],
	random: Random,
	bodyBytes: number,
): T | undefined {
	const trusted = candidates.filter(({isDoubtful}) => !isDoubtful);
	const usable = trusted.length > 0 ? trusted : candidates;
	const leastFailures = Math.min(
		...usable.map(({failureShare}) => failureShare),
	);
	const leastTime = Math.min(
		...usable.map(({runTime}) => runTime || Number.POSITIVE_INFINITY),
	);
	// Failures and time that all targets share come from deeper services, and say nothing of one target.
	const weighed = usable.map((candidate) => ({
		candidate,
		weight:
			candidate.occupancy +
			candidate.failureShare -
			leastFailures +
			slownessOf(candidate.runTime, leastTime),
	}));
	const withRoom = weighed.filter(
		({candidate, weight}) =>
			candidate.isNear && weight < nearOccupancyThreshold,
	);
	const own = withRoom.find(({candidate}) => candidate.isLocal);
	const chosen =
		own ??
		drawBetter(withRoom, random) ??
		drawNearOrFar(weighed, random, bodyBytes);
	return chosen?.candidate;
}

function slownessOf(runTime: number, leastTime: number): number {
	const factor = runTime / (leastTime * usualSpread);
	return factor > 1 ? slownessCost * Math.log2(factor) : 0;
}

type Weighed<T> = {candidate: T; weight: number};

function drawNearOrFar<T extends Candidate>(
	weighed: Array<Weighed<T>>,
	random: Random,
	bodyBytes: number,
): Weighed<T> | undefined {
	const near = drawBetter(
		weighed.filter(({candidate}) => candidate.isNear),
		random,
	);
	const far = drawBetter(
		weighed.filter(({candidate}) => !candidate.isNear),
		random,
	);
	if (!near || !far) {
		return near ?? far;
	}

	const price = distancePenalty + bodyBytes / bytesPerRound;
	return near.weight <= far.weight + price ? near : far;
}

function drawBetter<T extends Candidate>(
	weighed: Array<Weighed<T>>,
	random: Random,
): Weighed<T> | undefined {
	if (weighed.length < 2) {
		return weighed[0];
	}

	const first = random.below(weighed.length);
	const second =
		(first + 1 + random.below(weighed.length - 1)) % weighed.length;
	const [left, right] = [weighed[first]!, weighed[second]!];
	return left.weight <= right.weight ? left : right;
}
