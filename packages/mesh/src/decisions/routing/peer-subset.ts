/**
 * Selects the nodes of a service to which a node keeps links.
 *
 * Load pattern: a fleet of hundreds of nodes in which each links to each. A
 * restart of one node costs a handshake with all others, a restart of all nodes
 * the square of that, and every load report is sent to every node. So each node
 * uses a bounded subset: first nodes of its own data centre, the rest in
 * others, so that some remain when a data centre is lost.
 */
import type {NameRank} from './name-rank.js';

/** A member of a service as a candidate for a subset. */
export type SubsetMember = {
	node: string;
	/** It is in the same data centre as this node. */
	isNear: boolean;
	/** It has been unreachable for some time; it ranks after all reachable members. */
	isUnreachable: boolean;
};

/** The desired number of members of a subset that can take work. */
export type SubsetSize = {
	/** In the same data centre, if it has that many. */
	near: number;
	/** In total. */
	total: number;
};

/** The subset for a service that callers of this node request. */
export const activeSubsetSize: SubsetSize = {near: 5, total: 8};
/** The subset for a service without requests here: enough to receive its state and to start immediately. */
export const idleSubsetSize: SubsetSize = {near: 3, total: 5};
/**
 * Candidates tried per wanted member, so that a node doesn't link to all
 * members of a service that is down.
 */
const candidatesPerMember = 3;

/**
 * Sorts members by reachability, then by the ranks of this node. These are
 * those of rendezvous hashing (Thaler and Ravishankar, 1998): every node has
 * its own order, all members come first equally often, and a member that joins
 * or leaves changes a subset by at most itself and the one that replaces it.
 */
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
 * Selects the members to link to from ranked ones. A member that can't take
 * work now is kept, so that its recovery is noticed, and another is added.
 */
export function chooseSubset<T extends SubsetMember>(
	ranked: readonly T[],
	size: SubsetSize,
	canTakeWork: (member: T) => boolean,
): T[] {
	const selectFirst = (members: T[], wanted: number) => {
		const chosen: T[] = [];
		let working = 0;
		for (const member of members.slice(0, wanted * candidatesPerMember)) {
			if (working >= wanted) {
				break;
			}

			chosen.push(member);
			working += canTakeWork(member) ? 1 : 0;
		}

		return {chosen, working};
	};

	const near = selectFirst(
		ranked.filter(({isNear}) => isNear),
		size.near,
	);
	const far = selectFirst(
		ranked.filter(({isNear}) => !isNear),
		size.total - near.working,
	);
	return [...near.chosen, ...far.chosen];
}

/** The maximum number of members added to a subset while the selected ones are full. */
const maxExtra = 8;
/** Members added per period. */
const extraStep = 2;

/** The current state of a service's subset. */
export type SubsetState = {
	/** Callers of this node request the service. */
	isRequested: boolean;
	/** No member of the subset in this data centre has room. */
	isNearFull: boolean;
	/** No member of the subset has room. */
	isFull: boolean;
};

/** The size of one service's subset, adapted to its state. */
export type AdaptiveSize = {
	/** Called once per period. */
	update(state: SubsetState): SubsetSize;
};

/**
 * Creates a size that grows, up to a bound, while the subset is full: its
 * targets may be slow or overloaded while others have room.
 */
export function createAdaptiveSize(): AdaptiveSize {
	let nearExtra = 0;
	let farExtra = 0;
	const adapt = (extra: number, isFull: boolean) =>
		isFull ? Math.min(maxExtra, extra + extraStep) : Math.max(0, extra - 1);
	return {
		update({isRequested, isNearFull, isFull}) {
			nearExtra = adapt(nearExtra, isRequested && isNearFull);
			farExtra = adapt(farExtra, isRequested && isFull);
			const base = isRequested ? activeSubsetSize : idleSubsetSize;
			const near = base.near + nearExtra;
			return {near, total: near + (base.total - base.near) + farExtra};
		},
	};
}
