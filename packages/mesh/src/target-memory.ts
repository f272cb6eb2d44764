/**
 * Remembers what targets of other nodes stated in their answers.
 *
 * A node that restarts knows nothing of its target's earlier answers, and its
 * target may be in need all the same. The nodes that returned such answers to
 * their callers report them to it before they send it further requests.
 */
import type {RateLoad} from './exchange.js';
import type {TargetMemoryMessage, TargetState} from './peer-message.js';

type Incarnation = Pick<TargetState, 'targetId' | 'startedAt'>;

/** What is known of the targets of other nodes. */
export type TargetMemory = {
	/**
	 * Applies the state that a node reports of its target; returns what the node
	 * doesn't know, if anything.
	 */
	compare(
		node: string,
		target: TargetState,
		rate: RateLoad | undefined,
	): TargetMemoryMessage | undefined;
	/** Applies the rate limit in a load report of the node. */
	recordRate(
		node: string,
		target: Incarnation,
		rate: RateLoad | undefined,
	): void;
	/** Number of targets that have stated something. */
	size(): number;
};

type Statements = Incarnation & {
	/** Requests per second, infinite without a limit. */
	rateLimit: number;
};

/** Creates a memory without targets. */
export function createTargetMemory(): TargetMemory {
	const byNode = new Map<string, Statements>();

	/** Returns the statements of this incarnation; those of an earlier one don't apply. */
	const find = (node: string, {targetId, startedAt}: Incarnation) => {
		const known = byNode.get(node);
		return known?.targetId === targetId && known.startedAt === startedAt
			? known
			: undefined;
	};

	const recordRate: TargetMemory['recordRate'] = (node, target, rate) => {
		if (!rate) {
			return;
		}

		if (rate.limit === Number.POSITIVE_INFINITY) {
			byNode.delete(node);
			return;
		}

		const {targetId, startedAt} = target;
		byNode.set(node, {targetId, startedAt, rateLimit: rate.limit});
	};

	return {
		compare(node, target, rate) {
			const known = find(node, target);
			if (!known) {
				byNode.delete(node);
			}

			recordRate(node, target, rate);
			return known && !rate ? {kind: 'targetMemory', ...known} : undefined;
		},
		recordRate,
		size: () => byNode.size,
	};
}
