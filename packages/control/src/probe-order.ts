/**
 * Whom to probe next: every member once in a shuffled order, then anew, which
 * bounds the time until a dead member is probed (SWIM, section 4.3). Members
 * under suspicion elsewhere go first, which is the indirect check.
 */
import {shuffle, type Random} from '@egretspoke/shared';

/** Gives the next node to probe. */
export type ProbeOrder = {
	/** Undefined when there is nobody. */
	next(candidates: () => string[]): string | undefined;
	/** Puts a node first. */
	prioritize(node: string): void;
};

/** Creates an order that shuffles by the given source. */
export function createProbeOrder(random: Random): ProbeOrder {
	let order: string[] = [];
	const prioritized = new Set<string>();
	return {
		next(candidates) {
			const [first] = prioritized;
			if (first !== undefined) {
				prioritized.delete(first);
				return first;
			}

			if (order.length === 0) {
				order = shuffle(candidates(), random);
			}

			return order.pop();
		},
		prioritize(node) {
			prioritized.add(node);
		},
	};
}
