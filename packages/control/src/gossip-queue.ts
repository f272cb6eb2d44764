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

/**
 * Times that a record is told for each doubling of the members. At 570 these
 * are 19 and 5. Five tellings by each who hears it leave out well under one
 * member in a hundred; those learn it when members exchange all they know.
 * That will do for a start or a new version, of which there may be hundreds at
 * once, and not for an end.
 */
const tellings = {urgent: 2, ordinary: 0.5};

/** The least number of tellings, for a handful of members. */
const fewestTellings = 4;

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

			const doublings = Math.log2(members + 1);
			const limitOf = (factor: number) =>
				Math.max(fewestTellings, Math.ceil(factor * doublings));
			const limits = {
				urgent: limitOf(tellings.urgent),
				ordinary: limitOf(tellings.ordinary),
			};
			const chosen = [...items.values()].sort(compareItems).slice(0, most);
			for (const item of chosen) {
				item.told++;
				if (item.told >= limits[item.isUrgent ? 'urgent' : 'ordinary']) {
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
