/** Reports a crash of the local target. */
import type {MeshMetrics} from '@egretspoke/observability';
import {
	identifyRequest,
	type CrashedRun,
	type Suspect,
	type TimedRun,
} from '@egretspoke/quarantine';
import type {Clock} from '@egretspoke/shared';
import type {ForwardedRequest} from '../links/exchange.js';
import type {HeaderNames} from '../configuration/header-names.js';
import type {MeshReporter} from '../mesh-reporter.js';
import {partsOf} from '../entry/request-parts.js';

/** A request running at the target. */
export type WatchedRun = TimedRun & {request: ForwardedRequest};

/** Dependencies of the report. */
export type CrashReportOptions = {
	clock: Clock;
	headerNames: Pick<HeaderNames, 'workspace'>;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'targetCrashed'>;
	/** Records the runs in the suspect registry; returns the suspects that changed. */
	recordCrash: (runs: CrashedRun[]) => Suspect[];
};

/** Records a crash with the runs suspected to have caused it, and logs each of them. */
export function reportCrash(
	{clock, headerNames, reporter, metrics, recordCrash}: CrashReportOptions,
	runs: WatchedRun[],
	lost: number,
): void {
	const crashed = runs.map(({request, startedAt}) => ({
		identity: identifyRequest(partsOf(request, headerNames)),
		startedAt,
		crashes: request.crashes,
	}));
	metrics.targetCrashed();
	reporter.notice('targetCrashed', {requests: lost});
	const crashes = new Map(
		recordCrash(crashed).map((suspect) => [suspect.identity, suspect.crashes]),
	);
	const now = clock.now();
	for (const [index, {request, startedAt}] of runs.entries()) {
		const {identity} = crashed[index]!;
		reporter.decision('crashedUnder', request.requestId, 'targetCrashed', {
			identity,
			route: request.route,
			ran: Math.round(now - startedAt),
			crashes: crashes.get(identity) ?? 0,
		});
	}
}
