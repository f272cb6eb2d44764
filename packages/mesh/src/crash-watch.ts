/** What the target beside this node ran when it crashed, and what is told of it. */
import type {MeshMetrics} from '@egretspoke/observability';
import {
	createCrashDetector,
	identifyRequest,
	type CrashDetector,
} from '@egretspoke/quarantine';
import type {Clock} from '@egretspoke/shared';
import type {HandedRequest} from './exchange.js';
import type {HeaderNames} from './header-names.js';
import type {MeshReporter} from './mesh-reporter.js';
import {partsOf} from './request-parts.js';

/** A request at the target. */
export type WatchedRun = {
	request: HandedRequest;
	/** When the target got it, on the clock. */
	startedAt: number;
};

/** What the watch needs. */
export type CrashWatchOptions = {
	clock: Clock;
	headerNames: Pick<HeaderNames, 'workspace'>;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'targetCrashed'>;
	/** Finds out whether the target takes connections. */
	probe: (onResult: (isListening: boolean) => void) => void;
	/** Whether the end of the target was announced. */
	isLeaving: () => boolean;
};

/** The watch over one start of the target. */
export type CrashWatch<Run extends WatchedRun> = {
	started(run: Run): void;
	/** The run ended otherwise than by a lost connection. */
	ended(run: Run): void;
	/** The run's connection was lost; calls back soon with whether the target crashed. */
	lost(run: Run, onVerdict: (hasCrashed: boolean) => void): void;
	/** The target refused a connection, or another start of it has announced itself. */
	refused(): void;
};

/** Requests of one crash that are told of, the latest first; a crash follows soon after what caused it. */
const mostTold = 128;

/** Creates the watch over a target that runs nothing. */
export function createCrashWatch<Run extends WatchedRun>(
	options: CrashWatchOptions,
): CrashWatch<Run> {
	const {clock, headerNames, metrics, reporter} = options;
	const callbacks = new Map<Run, (hasCrashed: boolean) => void>();

	const tellCrash = (runs: Run[]) => {
		const now = clock.now();
		const latest = runs
			.toSorted((left, right) => right.startedAt - left.startedAt)
			.slice(0, mostTold);
		metrics.targetCrashed();
		reporter.notice('meshTargetCrashed', {requests: runs.length});
		for (const {request, startedAt} of latest) {
			reporter.decision(
				'meshCrashedUnder',
				request.requestId,
				'targetCrashed',
				{
					identity: identifyRequest(partsOf(request, headerNames)),
					route: request.route,
					ran: Math.round(now - startedAt),
				},
			);
		}
	};

	const detector: CrashDetector<Run> = createCrashDetector({
		clock,
		probe: options.probe,
		onVerdict(lost, isEnded) {
			const hasCrashed = isEnded && !options.isLeaving();
			if (hasCrashed) {
				tellCrash(lost);
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
		lost(run, onVerdict) {
			callbacks.set(run, onVerdict);
			detector.lost(run);
		},
		refused: detector.refused,
	};
}
