/**
 * The queue of records that a node gossips with its probes, least-sent first.
 * Each message carries a bounded number of records, and each record is sent a
 * number of times that grows with the logarithm of the members (SWIM, section
 * 4.1), so that the bytes of a message and of a change are both bounded.
 */

/** The members whose records are still to be sent. */
export type GossipQueue = {
	/** Queues the node's record and resets its count; urgent ones go before all others. */
	add(node: string, isUrgent: boolean): void;
	/** Returns the nodes whose records go into the next message, and counts them as sent. */
	take(maxRecords: number, members: number): string[];
	size(): number;
};

/**
 * How often a record is sent for each doubling of the number of members. At 570
 * members these are 19 and 5 times. Five transmissions by each node that receives
 * the record miss well under one member in a hundred; those get it with the next
 * full sync. That is enough for a start or a new version, of which there may be
 * hundreds at once, but not for the end of a member.
 */
const transmissionsPerDoubling = {urgent: 2, ordinary: 0.5};

/** Minimum number of transmissions; applies with few members. */
const minTransmissions = 4;

/** How often the record of each queued node was sent, in queue order. */
type TransmissionCounts = Map<string, number>;

/** Creates an empty queue. */
export function createGossipQueue(): GossipQueue {
	const unsent = createLanes();
	const resent = createLanes();

	const remove = (node: string) => {
		for (const lane of lanes) {
			unsent[lane].delete(node);
			resent[lane].delete(node);
		}
	};

	return {
		add(node, isUrgent) {
			remove(node);
			unsent[isUrgent ? 'urgent' : 'ordinary'].set(node, 0);
		},
		take(maxRecords, members) {
			const doublings = Math.log2(members + 1);
			const taken: Array<{node: string; sentCount: number; lane: Lane}> = [];
			for (const lane of lanes) {
				for (const {[lane]: counts} of [unsent, resent]) {
					const nodes = takeFirst(counts, maxRecords - taken.length);
					taken.push(
						...nodes.map(([node, sentCount]) => ({node, sentCount, lane})),
					);
				}
			}

			for (const {node, sentCount, lane} of taken) {
				const limit = Math.ceil(transmissionsPerDoubling[lane] * doublings);
				if (sentCount + 1 < Math.max(minTransmissions, limit)) {
					resent[lane].set(node, sentCount + 1);
				}
			}

			return taken.map(({node}) => node);
		},
		size: () =>
			lanes.reduce(
				(total, lane) => total + unsent[lane].size + resent[lane].size,
				0,
			),
	};
}

/** The priority lanes, the urgent one first. */
const lanes = ['urgent', 'ordinary'] as const;

type Lane = (typeof lanes)[number];

function createLanes(): Record<Lane, TransmissionCounts> {
	return {
		urgent: new Map<string, number>(),
		ordinary: new Map<string, number>(),
	};
}

/** Removes and returns the first entries; a map keeps insertion order. */
function takeFirst(
	counts: TransmissionCounts,
	maxCount: number,
): Array<[string, number]> {
	const taken: Array<[string, number]> = [];
	for (const entry of counts) {
		if (taken.length >= maxCount) {
			break;
		}

		taken.push(entry);
	}

	for (const [node] of taken) {
		counts.delete(node);
	}

	return taken;
}
