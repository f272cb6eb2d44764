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
	take(maxRecords: number, members: number): string[];
	size(): number;
};

/**
 * Times that a record is told for each doubling of the members. At 570 these
 * are 19 and 5. Five tellings by each who hears it leave out well under one
 * member in a hundred; those learn it when members exchange all they know.
 * That will do for a start or a new version, of which there may be hundreds at
 * once, and not for an end.
 */
const transmissionsPerDoubling = {urgent: 2, ordinary: 0.5};

/** The least number of tellings, for a handful of members. */
const minTransmissions = 4;

/** Nodes that are still to be told, in turn, and how often they were. */
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

/** Ends go before everything that can wait. */
const lanes = ['urgent', 'ordinary'] as const;

type Lane = (typeof lanes)[number];

function createLanes(): Record<Lane, TransmissionCounts> {
	return {
		urgent: new Map<string, number>(),
		ordinary: new Map<string, number>(),
	};
}

/** Takes the first entries out; a map keeps the order of their insertion. */
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
