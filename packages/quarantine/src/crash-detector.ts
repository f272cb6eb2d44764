/**
 * Distinguishes the crash of a target from the loss of single connections.
 * Load pattern: a target that runs dozens of requests occasionally loses one
 * connection. If that counted as a crash, all of its other requests would become
 * suspects. A crashed process loses all of its connections and its port, so a
 * crash is reported only when every running request was lost and the target
 * refuses connections.
 */
import type {Clock, Timer} from '@egretspoke/shared';

/** Options of a detector. */
export type CrashDetectorOptions<Run> = {
	clock: Clock;
	/** Checks whether the target accepts connections. */
	probe: (onResult: (isListening: boolean) => void) => void;
	/** Reports lost runs, and whether a crash ended them; each run is reported once. */
	onVerdict: (lost: Run[], hasCrashed: boolean) => void;
};

/** The position of a run among all runs since the target started, in order of start. */
export type RunOrdinal = number;

/** Tracks the runs of one target from its start to its end. */
export type CrashDetector<Run> = {
	/** Records the start of a run; returns the ordinal that identifies it at its end. */
	started(): RunOrdinal;
	/** Records that a run ended other than by a lost connection. */
	ended(ordinal: RunOrdinal): void;
	/** Records that the run's connection was lost; the verdict follows at once, or within `settleTimeout` and a probe. */
	lost(run: Run, ordinal: RunOrdinal): void;
	/** Records that the target refused a connection. */
	refused(): void;
};

/** Milliseconds within which all connection ends of a crashed process are noticed. */
export const settleTimeout = 15;

/** Creates a detector without runs. */
export function createCrashDetector<Run>(
	options: CrashDetectorOptions<Run>,
): CrashDetector<Run> {
	const {clock} = options;
	// Counters instead of a set of runs: a busy set is copied as it grows, and the
	// copies retain ended requests until the next full garbage collection.
	let running = 0;
	let nextOrdinal: RunOrdinal = 0;
	/** The first run that began after the first of the undecided losses; a crash ended only earlier runs. */
	let firstUnexposed: RunOrdinal = 0;
	/** The number of earlier runs that have not ended yet. */
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

	/**
	 * Probes also while runs are open, unless more runs are open than were lost,
	 * because a busy process may not have noticed the last ends yet.
	 */
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
