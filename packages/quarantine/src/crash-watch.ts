/** Reports the verdict to each lost run, and a crash with the runs that it ended. */
import {
	createCrashDetector,
	type CrashDetector,
	type CrashDetectorOptions,
	type RunOrdinal,
} from './crash-detector.js';

/** A run with its start, by which runs are sorted. */
export type TimedRun = {
	/** When the request was sent to the target, in milliseconds on the monotonic clock. */
	startedAt: number;
};

/** Options of a crash watch. */
export type CrashWatchOptions<Run> = Omit<
	CrashDetectorOptions<Run>,
	'onVerdict'
> & {
	/** Whether the target announced that it is leaving; its end is then not a crash. */
	isLeaving: () => boolean;
	/** Called on a crash with the most recent runs, latest first, and the number of all lost runs. */
	onCrash: (runs: Run[], lost: number) => void;
};

/** The crash watch of one target from its start to its end. */
export type CrashWatch<Run> = Pick<
	CrashDetector<Run>,
	'started' | 'ended' | 'refused'
> & {
	/** Records that the run's connection was lost; `onVerdict` receives whether the target crashed. */
	lost(
		run: Run,
		ordinal: RunOrdinal,
		onVerdict: (hasCrashed: boolean) => void,
	): void;
};

/** Maximum number of suspects of one crash, the latest first, because a crash follows soon after its cause. */
const maxSuspects = 128;

/** Creates a crash watch without runs. */
export function createCrashWatch<Run extends TimedRun>(
	options: CrashWatchOptions<Run>,
): CrashWatch<Run> {
	const callbacks = new Map<Run, (hasCrashed: boolean) => void>();

	const detector = createCrashDetector<Run>({
		...options,
		onVerdict(lost, hasEnded) {
			const hasCrashed = hasEnded && !options.isLeaving();
			if (hasCrashed) {
				const latest = lost
					.toSorted((left, right) => right.startedAt - left.startedAt)
					.slice(0, maxSuspects);
				options.onCrash(latest, lost.length);
			}

			for (const run of lost) {
				const onVerdict = callbacks.get(run);
				callbacks.delete(run);
				onVerdict?.(hasCrashed);
			}
		},
	});

	return {
		started: detector.started,
		ended: detector.ended,
		lost(run, ordinal, onVerdict) {
			callbacks.set(run, onVerdict);
			detector.lost(run, ordinal);
		},
		refused: detector.refused,
	};
}
