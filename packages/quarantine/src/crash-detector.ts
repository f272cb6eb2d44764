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

/** Watches the runs of one start of one target. */
export type CrashDetector<Run> = {
	started(run: Run): void;
	/** The run ended otherwise than by a lost connection. */
	ended(run: Run): void;
	/** The run's connection was lost; the verdict follows, at once or within `settleTime`. */
	lost(run: Run): void;
	/** The target refused a connection. */
	refused(): void;
};

/** Milliseconds in which the ends of all connections of a process are noticed. */
export const settleTime = 15;

/** Creates the detector of a target that runs nothing. */
export function createCrashDetector<Run>(
	options: CrashDetectorOptions<Run>,
): CrashDetector<Run> {
	const {clock} = options;
	const running = new Set<Run>();
	/** Runs that a crash would have ended, and that haven't ended yet. */
	let exposed = new Set<Run>();
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
			exposed.clear();
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
		if (exposed.size > undecided.length) {
			decide(false);
		} else {
			probe();
		}
	};

	const forget = (run: Run) => {
		running.delete(run);
		exposed.delete(run);
		if (undecided.length > 0 && exposed.size === 0) {
			probe();
		}
	};

	return {
		started(run) {
			running.add(run);
		},
		ended: forget,
		lost(run) {
			if (hasCrashed && exposed.delete(run)) {
				running.delete(run);
				options.onVerdict([run], true);
				return;
			}

			if (undecided.length === 0) {
				exposed = new Set(running);
				timer = clock.setTimer(settleTime, settle);
			}

			undecided.push(run);
			forget(run);
		},
		refused() {
			if (undecided.length > 0) {
				decide(true);
			}
		},
	};
}
