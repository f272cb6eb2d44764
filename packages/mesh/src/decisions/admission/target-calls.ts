/**
 * Tracks the calls of the local target: whether it makes any, and which ratio
 * of its work is repeated.
 *
 * Load pattern: a service in the middle of a call graph declines work, which is
 * then offered again. The calls of that work are repeats for the services
 * below, which can't recognise them. Unless this ratio is passed on, each
 * layer spends the whole bound on repeats and the lowest one gets the sum.
 */

/** The calls of one target. */
export type TargetCalls = {
	/** Records a request handed to the target; the given share of it, from 0 to 1, is a repeat. */
	recordRun(repeatShare: number): void;
	/** Records that a request is offered to the target again. */
	recordRepeat(): void;
	recordCall(): void;
	/** Whether the target makes calls; true until enough requests have been recorded. */
	makesCalls(): boolean;
	/** The ratio of its work, from 0 to 1, that is repeated. */
	repeatShare(): number;
};

/** Calls per request from which a target counts as making calls: operators' checks cause a few. */
const minCallRatio = 0.05;
/** The minimum number of requests for an estimate. */
const minRuns = 50;
/** The number of requests after which both counts are halved. */
const memory = 2000;
/** The weight of one request in the ratio of repeats. */
const shareWeight = 1 / 32;

/** Creates the counts of a target without requests. */
export function createTargetCalls(): TargetCalls {
	let runs = 0;
	let calls = 0;
	let repeatShare = 0;
	const updateShare = (share: number) => {
		repeatShare += (share - repeatShare) * shareWeight;
	};

	return {
		recordRun(share) {
			runs++;
			updateShare(share);
			if (runs > memory) {
				runs /= 2;
				calls /= 2;
			}
		},
		recordRepeat() {
			updateShare(1);
		},
		recordCall() {
			calls++;
		},
		makesCalls: () => runs < minRuns || calls / runs >= minCallRatio,
		repeatShare: () => repeatShare,
	};
}
