/**
 * Selects the next member to probe: every member once in a shuffled order, then
 * again, which bounds the time until a failed member is probed (SWIM, section
 * 4.3). Members that are suspected elsewhere go first, as the indirect check.
 */
import {shuffle, type Random} from '@egretspoke/shared';

/** The order in which members are probed. */
export type ProbeOrder = {
	/** Returns the next node to probe; undefined when there are no candidates. */
	next(candidates: () => string[]): string | undefined;
	/** Moves a node to the front. */
	prioritize(node: string): void;
};

/** Creates a probe order that shuffles with the given random source. */
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
