/**
 * The news that a node passes on with its probes, the least told first. Each
 * message takes a bounded number, and each record is told a number of times
 * that grows with the logarithm of the members (SWIM, section 4.1), so that
 * the bytes of a message and of a change are both bounded.
 */

/** Which members' records are still to be told. */
export type GossipQueue = {
	/** Tells the node's record anew; urgent ones go before all others. */
	add(node: string, isUrgent: boolean): void;
	/** The nodes to tell in the next message; counts them as told. */
	take(most: number, members: number): string[];
	size(): number;
};

/** Times that a record is told for each doubling of the members. */
const tellings = 3;

type Item = {node: string; told: number; isUrgent: boolean};

/** Creates an empty queue. */
export function createGossipQueue(): GossipQueue {
	const items = new Map<string, Item>();
	return {
		add(node, isUrgent) {
			items.set(node, {node, told: 0, isUrgent});
		},
		take(most, members) {
			if (items.size === 0) {
				return [];
			}

			const limit = Math.ceil(tellings * Math.log2(members + 1));
			const chosen = [...items.values()].sort(compareItems).slice(0, most);
			for (const item of chosen) {
				item.told++;
				if (item.told >= limit) {
					items.delete(item.node);
				}
			}

			return chosen.map(({node}) => node);
		},
		size: () => items.size,
	};
}

function compareItems(left: Item, right: Item): number {
	return (
		Number(right.isUrgent) - Number(left.isUrgent) || left.told - right.told
	);
}
