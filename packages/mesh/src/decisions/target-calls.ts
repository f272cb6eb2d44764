/**
 * What a node sees of the calls that the target beside it makes: whether it
 * makes any, and how much of its work is a repeat.
 *
 * Load pattern: a service in the middle of a call graph turns away work, which
 * is offered again. The calls of that work are repeats for the services below,
 * which can't tell them from others; without a word of it, each level would
 * spend the whole bound on repeats and the lowest would get the sum.
 */

/** The calls of one target. */
export type TargetCalls = {
	/** It gets a request, of which this share from 0 to 1 is a repeat. */
	recordRun(repeatShare: number): void;
	/** A request that it got is offered again. */
	recordRepeat(): void;
	recordCall(): void;
	/** Whether it makes calls; so it is taken while little has been seen. */
	makesCalls(): boolean;
	/** The share of its work, from 0 to 1, that is a repeat. */
	repeatShare(): number;
};

/** Calls for each request from which a target is taken to make calls: a few come from operators' checks. */
const leastCalls = 0.05;
/** Requests without which nothing can be said. */
const leastRuns = 50;
/** Requests after which what was seen counts half. */
const memory = 2000;
/** The weight of one request in the share of repeats. */
const shareWeight = 1 / 32;

/** Creates the knowledge of a target of which nothing was seen. */
export function createTargetCalls(): TargetCalls {
	let runs = 0;
	let calls = 0;
	let repeatShare = 0;
	const addShare = (share: number) => {
		repeatShare += (share - repeatShare) * shareWeight;
	};

	return {
		recordRun(share) {
			runs++;
			addShare(share);
			if (runs > memory) {
				runs /= 2;
				calls /= 2;
			}
		},
		recordRepeat() {
			addShare(1);
		},
		recordCall() {
			calls++;
		},
		makesCalls: () => runs < leastRuns || calls / runs >= leastCalls,
		repeatShare: () => repeatShare,
	};
}
