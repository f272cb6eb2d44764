/** Calls back each lost run with the verdict, and tells a crash with all that it ended. */
import {
	createCrashDetector,
	type CrashDetector,
	type CrashDetectorOptions,
	type RunOrdinal,
} from './crash-detector.js';

/** A run that can be put in order of time. */
export type TimedRun = {
	/** When the target got it, on the clock. */
	startedAt: number;
};

/** What a watch needs. */
export type CrashWatchOptions<Run> = Omit<
	CrashDetectorOptions<Run>,
	'onVerdict'
> & {
	/** Whether the end of the target was announced; it is no crash then. */
	isLeaving: () => boolean;
	/** The target crashed with these runs, the latest first; so many were lost in all. */
	onCrash: (runs: Run[], lost: number) => void;
};

/** The watch over one start of a target. */
export type CrashWatch<Run> = Pick<
	CrashDetector<Run>,
	'started' | 'ended' | 'refused'
> & {
	/** The run's connection was lost; calls back soon with whether the target crashed. */
	lost(
		run: Run,
		ordinal: RunOrdinal,
		onVerdict: (hasCrashed: boolean) => void,
	): void;
};

/** Requests of one crash that come under suspicion, the latest first; a crash follows soon after what caused it. */
const mostSuspected = 128;

/** Creates the watch over a target that runs nothing. */
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
					.slice(0, mostSuspected);
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
