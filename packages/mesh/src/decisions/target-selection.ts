/**
 * Chooses the target of a request.
 *
 * Load pattern: targets of one service differ in speed by three, and data
 * centres hold unequal shares of them. Strictly near, the only target of a
 * data centre drowns while others idle; always the emptiest, most calls cross
 * between data centres for nothing. So the near targets are used while one of
 * them has room, and the emptiest of all from then on.
 *
 * Of two that are drawn at random, the less occupied is taken: the best of
 * all would get the work of every node at once, since they all see the same
 * report (Mitzenmacher, "The Power of Two Choices", 2001).
 */
import type {Random} from '@egretspoke/shared';

/** What is known of a target that may be chosen. */
export type Candidate = {
	node: string;
	isNear: boolean;
	/** Requests in it or waiting for it, as far as known, over what it may run at once. */
	occupancy: number;
	/** The share of its latest answers that were failures. */
	failureShare: number;
	/** Answers were failures lately, or nothing has been heard of it for a while. */
	isDoubtful: boolean;
};

/**
 * The occupancy up to which a near target is preferred: above it, a queue
 * forms within the time in which reports are renewed.
 */
const nearOccupancy = 0.8;
/** The occupancy that crossing between data centres is worth once near targets are full. */
const distancePenalty = 0.1;

/** The chosen candidate; undefined when there is none. */
export function selectTarget<T extends Candidate>(
	candidates: T[],
	random: Random,
): T | undefined {
	const trusted = candidates.filter(({isDoubtful}) => !isDoubtful);
	const usable = trusted.length > 0 ? trusted : candidates;
	const leastFailures = Math.min(
		...usable.map(({failureShare}) => failureShare),
	);
	// Failures that all targets share come from deeper services, and say nothing of one target.
	const weighed = usable.map((candidate) => ({
		candidate,
		weight: candidate.occupancy + candidate.failureShare - leastFailures,
	}));
	const nearWithRoom = weighed.filter(
		({candidate, weight}) => candidate.isNear && weight < nearOccupancy,
	);
	return nearWithRoom.length > 0
		? drawBetter(nearWithRoom, random)
		: drawBetter(weighed, random);
}

type Weighed<T> = {candidate: T; weight: number};

function drawBetter<T extends Candidate>(
	weighed: Array<Weighed<T>>,
	random: Random,
): T | undefined {
	if (weighed.length < 2) {
		return weighed[0]?.candidate;
	}

	const first = random.below(weighed.length);
	const second =
		(first + 1 + random.below(weighed.length - 1)) % weighed.length;
	const [left, right] = [weighed[first]!, weighed[second]!];
	return weighWithDistance(left) <= weighWithDistance(right)
		? left.candidate
		: right.candidate;
}

function weighWithDistance<T extends Candidate>({
	candidate,
	weight,
}: Weighed<T>): number {
	return weight + (candidate.isNear ? 0 : distancePenalty);
}
