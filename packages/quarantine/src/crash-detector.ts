/**
 * Tells the crash of a target from the loss of single connections.
 *
 * Load pattern: a target that runs dozens of requests loses the answer of one
 * now and then. Taken for a crash, each loss would put all of the others under
 * suspicion. A process that crashes takes every connection and its port with
 * it, so a crash needs both: every request that the target ran was lost, and it
 * takes no connection any more.
 */
import type {Clock, Timer} from '@egretspoke/shared';

/** What a detector needs. */
export type CrashDetectorOptions<Run> = {
	clock: Clock;
	/** Finds out whether the target takes connections. */
	probe: (onResult: (isListening: boolean) => void) => void;
	/** Runs that were lost, and whether by a crash; each run is told once. */
	onVerdict: (lost: Run[], hasCrashed: boolean) => void;
};

/** The place of a run among all of one start of a target, in the order in which they began. */
export type RunOrdinal = number;

/** Watches the runs of one start of one target. */
export type CrashDetector<Run> = {
	/** A run begins; gives the ordinal by which its end is told. */
	started(): RunOrdinal;
	/** The run ended otherwise than by a lost connection. */
	ended(ordinal: RunOrdinal): void;
	/** The run's connection was lost; the verdict follows, at once or within `settleTime`. */
	lost(run: Run, ordinal: RunOrdinal): void;
	/** The target refused a connection. */
	refused(): void;
};

/** Milliseconds in which the ends of all connections of a process are noticed. */
export const settleTimeout = 15;

/** Creates the detector of a target that runs nothing. */
export function createCrashDetector<Run>(
	options: CrashDetectorOptions<Run>,
): CrashDetector<Run> {
	const {clock} = options;
	// Counts in place of a set of runs: a busy set is copied as it grows, and its
	// copies keep ended requests alive until the next full garbage collection.
	let running = 0;
	let nextOrdinal: RunOrdinal = 0;
	/** Runs that a crash would have ended are those before this one. */
	let firstUnexposed: RunOrdinal = 0;
	/** How many of them haven't ended yet. */
	let exposed = 0;
	/** Lost runs without a verdict. */
	let undecided: Run[] = [];
	let hasCrashed = false;
	let isProbing = false;
	let timer: Timer | undefined;

	const decide = (verdict: boolean) => {
		timer?.cancel();
		timer = undefined;
		const lost = undecided;
		undecided = [];
		hasCrashed = verdict;
		if (!verdict) {
			firstUnexposed = 0;
			exposed = 0;
		}

		if (lost.length > 0) {
			options.onVerdict(lost, verdict);
		}
	};

	const probe = () => {
		if (isProbing) {
			return;
		}

		isProbing = true;
		options.probe((isListening) => {
			isProbing = false;
			if (undecided.length > 0) {
				decide(!isListening);
			}
		});
	};

	/** A busy process may not have noticed the last ends by now. */
	const settle = () => {
		if (exposed > undecided.length) {
			decide(false);
		} else {
			probe();
		}
	};

	const countEnd = (ordinal: RunOrdinal) => {
		running--;
		if (ordinal < firstUnexposed) {
			exposed--;
		}

		if (undecided.length > 0 && exposed === 0) {
			probe();
		}
	};

	return {
		started() {
			running++;
			return nextOrdinal++;
		},
		ended: countEnd,
		lost(run, ordinal) {
			if (hasCrashed && ordinal < firstUnexposed) {
				countEnd(ordinal);
				options.onVerdict([run], true);
				return;
			}

			if (undecided.length === 0) {
				hasCrashed = false;
				firstUnexposed = nextOrdinal;
				exposed = running;
				timer = clock.setTimer(settleTimeout, settle);
			}

			undecided.push(run);
			countEnd(ordinal);
		},
		refused() {
			if (undecided.length > 0) {
				decide(true);
			}
		},
	};
}
