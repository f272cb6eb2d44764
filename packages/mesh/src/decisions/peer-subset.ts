/**
 * Which nodes of a service a node keeps links to.
 *
 * Load pattern: a fleet of hundreds of nodes in which each links to each. A
 * restart of one then costs a handshake with all the others, a restart of all
 * the square of that, and every report of load is sent to everybody. So each
 * node works with a bounded subset: the nodes of its own data centre first, the
 * rest in others, so that the loss of a data centre leaves some. The order is
 * that of rendezvous hashing (Thaler and Ravishankar, 1998): every node has its
 * own, all members come first equally often, and a member that joins or leaves
 * changes a subset by at most itself and the one that takes its place.
 */
import type {NameRank} from './name-rank.js';

/** A member of a service as the choice sees it. */
export type SubsetMember = {
	node: string;
	/** It is in this node's data centre. */
	isNear: boolean;
	/** It could not be reached for a while; it comes after all others. */
	isUnreachable: boolean;
};

/** How many members that can take work are wanted. */
export type SubsetSize = {
	/** In this node's data centre, if there are as many. */
	near: number;
	/** In all. */
	total: number;
};

/** The subset for a service that callers of this node ask for. */
export const activeSubsetSize: SubsetSize = {near: 5, total: 8};
/** The subset for a service that nobody asks for here: enough to hear of its state and to begin at once. */
export const idleSubsetSize: SubsetSize = {near: 3, total: 5};
/** Members that are tried for each one that is wanted; the others of a service that is down are left alone. */
const triedForEach = 3;

/** Members in the order in which a node with the ranks takes them. */
export function rankMembers<T extends SubsetMember>(
	rankOf: NameRank,
	members: readonly T[],
): T[] {
	return members.toSorted(
		(left, right) =>
			Number(left.isUnreachable) - Number(right.isUnreachable) ||
			rankOf(left.node) - rankOf(right.node),
	);
}

/**
 * The members to link to, from ranked ones. One that can't take work now is
 * kept, so that its return is noticed, and another one is taken besides.
 */
export function chooseSubset<T extends SubsetMember>(
	ranked: readonly T[],
	size: SubsetSize,
	canTakeWork: (member: T) => boolean,
): T[] {
	const takeFirst = (members: T[], wanted: number) => {
		const chosen: T[] = [];
		let working = 0;
		for (const member of members.slice(0, wanted * triedForEach)) {
			if (working >= wanted) {
				break;
			}

			chosen.push(member);
			working += canTakeWork(member) ? 1 : 0;
		}

		return {chosen, working};
	};

	const near = takeFirst(
		ranked.filter(({isNear}) => isNear),
		size.near,
	);
	const far = takeFirst(
		ranked.filter(({isNear}) => !isNear),
		size.total - near.working,
	);
	return [...near.chosen, ...far.chosen];
}

/** Members added to a subset at most while the chosen ones are full. */
const mostExtra = 8;
/** Members added in one period. */
const extraStep = 2;

/** How a service's subset fares. */
export type SubsetState = {
	/** Callers of this node ask for the service. */
	isRequested: boolean;
	/** No near member of the subset has room. */
	isNearFull: boolean;
	/** No member of the subset has room. */
	isFull: boolean;
};

/** The size of one service's subset as it fares. */
export type AdaptiveSize = {
	/** To be called in each period. */
	update(state: SubsetState): SubsetSize;
};

/**
 * Creates a size that grows while the subset is full, by need and to a bound:
 * the targets of a subset may be slow or overloaded while others have room.
 */
export function createAdaptiveSize(): AdaptiveSize {
	let nearExtra = 0;
	let farExtra = 0;
	const follow = (extra: number, isFull: boolean) =>
		isFull ? Math.min(mostExtra, extra + extraStep) : Math.max(0, extra - 1);
	return {
		update({isRequested: isAsked, isNearFull, isFull}) {
			nearExtra = follow(nearExtra, isAsked && isNearFull);
			farExtra = follow(farExtra, isAsked && isFull);
			const base = isAsked ? activeSubsetSize : idleSubsetSize;
			const near = base.near + nearExtra;
			return {near, total: near + (base.total - base.near) + farExtra};
		},
	};
}
