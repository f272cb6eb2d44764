/** What the target beside this node ran when it crashed, and what is told of it. */
import type {MeshMetrics} from '@egretspoke/observability';
import {
	createCrashDetector,
	identifyRequest,
	type CrashDetector,
	type CrashedRun,
	type Suspect,
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
	/** The target crashed with these runs; gives what is known now of the suspects that this changed. */
	onCrash: (runs: CrashedRun[]) => Suspect[];
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

/** Requests of one crash that come under suspicion, the latest first; a crash follows soon after what caused it. */
const mostNoted = 128;

/** Creates the watch over a target that runs nothing. */
export function createCrashWatch<Run extends WatchedRun>(
	options: CrashWatchOptions,
): CrashWatch<Run> {
	const {clock, headerNames, metrics, reporter} = options;
	const callbacks = new Map<Run, (hasCrashed: boolean) => void>();

	const noteCrash = (runs: Run[]) => {
		const latest = runs
			.toSorted((left, right) => right.startedAt - left.startedAt)
			.slice(0, mostNoted);
		const crashed = latest.map(({request, startedAt}) => ({
			identity: identifyRequest(partsOf(request, headerNames)),
			startedAt,
			crashes: request.crashes,
		}));
		metrics.targetCrashed();
		reporter.notice('meshTargetCrashed', {requests: runs.length});
		const crashes = new Map(
			options
				.onCrash(crashed)
				.map((suspect) => [suspect.identity, suspect.crashes]),
		);
		const now = clock.now();
		for (const [index, {request, startedAt}] of latest.entries()) {
			const {identity} = crashed[index]!;
			reporter.decision(
				'meshCrashedUnder',
				request.requestId,
				'targetCrashed',
				{
					identity,
					route: request.route,
					ran: Math.round(now - startedAt),
					crashes: crashes.get(identity) ?? 0,
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
				noteCrash(lost);
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
