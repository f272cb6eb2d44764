/**
 * Tells a target's own calls from new requests of the callers beside it.
 *
 * Load pattern: overload deep in a call graph. New work has to be refused
 * before it begins, and calls of work that has begun have to go on; taken for
 * one another, begun work is wasted and new work is let in to be wasted. Both
 * come from the same VM over the same listener and look alike, but for one
 * fact: a target gives its calls the time that is left to the request that it
 * works on, so both expire at the same instant.
 *
 * An instant alone deceives when many requests run: a new request with a short
 * time can hit one by chance. Requests of one route are calls or new requests
 * by habit, so it is also asked how many of the route's latest ones matched.
 */

/** The detector of one node. */
export type InnerCallDetector = {
	/** The target works on a request that expires at this instant, in milliseconds. */
	begin(expiry: number): void;
	/** It no longer does. */
	end(expiry: number): void;
	/** Takes note of a request of the route, and says whether it is a call of the target's. */
	isInner(route: string, expiry: number): boolean;
};

/** Milliseconds by which a call may seem to expire before its parent: rounding on both sides. */
const earliness = 4;
/** The same after it: the way to this node, and a turn of a busy loop. */
const lateness = 15;
/** The weight of a request in its route's share of matches: about the last ten. */
const matchWeight = 0.15;
/** The share of matches from which a route's requests are calls; chance gives a third at 30 running requests a second. */
const innerShare = 0.7;

/** Creates a detector without requests. */
export function createInnerCallDetector(): InnerCallDetector {
	const running = new Map<number, number>();
	const shares = new Map<string, number>();

	const hasRunning = (expiry: number): boolean => {
		const rounded = Math.round(expiry);
		for (
			let instant = rounded - lateness;
			instant <= rounded + earliness;
			instant++
		) {
			if (running.has(instant)) {
				return true;
			}
		}

		return false;
	};

	return {
		begin(expiry) {
			const instant = Math.round(expiry);
			running.set(instant, (running.get(instant) ?? 0) + 1);
		},
		end(expiry) {
			const instant = Math.round(expiry);
			const count = running.get(instant) ?? 0;
			if (count > 1) {
				running.set(instant, count - 1);
			} else {
				running.delete(instant);
			}
		},
		isInner(route, expiry) {
			const matches = hasRunning(expiry);
			const before = shares.get(route) ?? 0;
			const share = before + matchWeight * ((matches ? 1 : 0) - before);
			shares.set(route, share);
			return matches && share >= innerShare;
		},
	};
}
