/**
 * Remembers what targets of other nodes stated in their answers.
 *
 * A node that restarts knows nothing of its target's earlier answers, but the
 * target may still be in need, or leaving. The nodes that returned such answers
 * to their callers report them to it before they send it further requests.
 */
import type {RateLoad} from '../links/exchange.js';
import type {TargetMemoryMessage, TargetState} from '../links/peer-message.js';
import {isSameIncarnation, type Incarnation} from './target-record.js';

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

type Statements = {
	incarnation: Incarnation;
	/** Requests per second; undefined without a limit. */
	rateLimit: number | undefined;
	isLeaving: boolean;
};

/** Creates a memory without targets. */
export function createTargetMemory(): TargetMemory {
	const byNode = new Map<string, Statements>();

	/** Whether the node reports an earlier target than the remembered one, as it does after a restart. */
	const isOutdated = (node: string, {startedAt}: Incarnation): boolean => {
		const known = byNode.get(node);
		return known !== undefined && known.incarnation.startedAt > startedAt;
	};

	/** Returns the statements of this incarnation; those of another one don't apply to it. */
	const find = (node: string, incarnation: Incarnation): Statements => {
		const known = byNode.get(node);
		return known && isSameIncarnation(known.incarnation, incarnation)
			? known
			: {incarnation, rateLimit: undefined, isLeaving: false};
	};

	const store = (node: string, statements: Statements) => {
		if (statements.rateLimit === undefined && !statements.isLeaving) {
			byNode.delete(node);
		} else {
			byNode.set(node, statements);
		}
	};

	return {
		compare(node, target, rate) {
			if (isOutdated(node, target)) {
				return undefined;
			}

			const {targetId, startedAt} = target;
			const known = find(node, target);
			const isLeaving = known.isLeaving || target.isLeaving;
			const rateLimit = rate ? finiteLimit(rate) : known.rateLimit;
			store(node, {
				incarnation: {targetId, startedAt},
				rateLimit,
				isLeaving,
			});
			const isUnknownLimit = !rate && rateLimit !== undefined;
			return isUnknownLimit || isLeaving !== target.isLeaving
				? {
						kind: 'targetMemory',
						targetId,
						startedAt,
						isLeaving,
						...(isUnknownLimit && {rateLimit}),
					}
				: undefined;
		},
		recordRate(node, incarnation, rate) {
			if (rate && !isOutdated(node, incarnation)) {
				const known = find(node, incarnation);
				store(node, {...known, rateLimit: finiteLimit(rate)});
			}
		},
		size: () => byNode.size,
	};
}

function finiteLimit({limit}: RateLoad): number | undefined {
	return limit === Number.POSITIVE_INFINITY ? undefined : limit;
}
