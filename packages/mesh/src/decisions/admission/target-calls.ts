/**
 * Tracks the calls of the local target: whether it makes any, and which ratio
 * of them is made by repeated work.
 *
 * Load pattern: a service in the middle of a call graph fails or declines work,
 * which is then repeated. The calls of that work are repeats for the services
 * below, which can't recognise them. Unless this ratio is passed on, each
 * layer spends the whole bound on repeats and the lowest one gets the sum.
 */

/** The calls of one target. */
export type TargetCalls = {
	/** Records that a request of the route runs at the target; the given share of it, from 0 to 1, is a repeat. */
	recordRun(route: string, repeatShare: number): void;
	/** Records that a running request is offered to the target again. */
	recordRepeat(route: string, repeatShare: number): void;
	/** Records the end of a run; its share is 1 if it was offered again. */
	recordEnd(route: string, repeatShare: number): void;
	recordCall(): void;
	/** Whether the target makes calls; true until enough requests have been recorded. */
	makesCalls(): boolean;
	/** The share, from 0 to below 1, of a call to the route that is a repeat. */
	repeatShare(called: string): number;
};

/** Calls per request from which a target counts as making calls: operators' checks cause a few. */
const minCallRatio = 0.05;
/** The minimum number of requests for an estimate. */
const minRuns = 50;
/** The number of requests after which both counts are halved. */
const memory = 2000;
/** Calls per request that are assumed at least, so that the runs count alike while nothing is known of their calls. */
const minCalls = 0.01;
/** A share of 1 is that of a request which a target has received before. */
const maxShare = 0.999;

/** The running requests of a route, and the sum of their shares. */
type Running = {runs: number; repeats: number};

/**
 * Creates the counts of a target without requests. A call doesn't identify its
 * run, but its run is one of those in progress, and routes with many calls are
 * repeated more often than others: each of their calls may fail. So the runs in
 * progress are weighted by the calls that a request of their route makes.
 */
export function createTargetCalls(
	callsPerRun: (route: string, called: string) => number,
): TargetCalls {
	let runs = 0;
	let calls = 0;
	const running = new Map<string, Running>();

	return {
		recordRun(route, repeatShare) {
			runs++;
			if (runs > memory) {
				runs /= 2;
				calls /= 2;
			}

			const known = running.get(route);
			if (known) {
				known.runs++;
				known.repeats += repeatShare;
			} else {
				running.set(route, {runs: 1, repeats: repeatShare});
			}
		},
		recordRepeat(route, repeatShare) {
			running.get(route)!.repeats += 1 - repeatShare;
		},
		recordEnd(route, repeatShare) {
			const known = running.get(route)!;
			known.runs--;
			known.repeats -= repeatShare;
			if (known.runs === 0) {
				running.delete(route);
			}
		},
		recordCall() {
			calls++;
		},
		makesCalls: () => runs < minRuns || calls / runs >= minCallRatio,
		repeatShare(called) {
			let all = 0;
			let repeated = 0;
			for (const [route, {runs: count, repeats}] of running) {
				const weight = minCalls + callsPerRun(route, called);
				all += weight * count;
				repeated += weight * repeats;
			}

			return all > 0 ? Math.min(maxShare, Math.max(0, repeated / all)) : 0;
		},
	};
}
