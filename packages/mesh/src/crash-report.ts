/** What is told of a crash of the target beside this node. */
import type {MeshMetrics} from '@egretspoke/observability';
import {
	identifyRequest,
	type CrashedRun,
	type Suspect,
	type TimedRun,
} from '@egretspoke/quarantine';
import type {Clock} from '@egretspoke/shared';
import type {ForwardedRequest} from './exchange.js';
import type {HeaderNames} from './header-names.js';
import type {MeshReporter} from './mesh-reporter.js';
import {partsOf} from './request-parts.js';

/** A request at the target. */
export type WatchedRun = TimedRun & {request: ForwardedRequest};

/** What the report needs. */
export type CrashReportOptions = {
	clock: Clock;
	headerNames: Pick<HeaderNames, 'workspace'>;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'targetCrashed'>;
	/** Takes the runs; gives what is known now of the suspects that they changed. */
	recordCrash: (runs: CrashedRun[]) => Suspect[];
};

/** Notes a crash with the runs that come under suspicion, and tells of each. */
export function reportCrash(
	{
		clock,
		headerNames,
		reporter,
		metrics,
		recordCrash: noteCrash,
	}: CrashReportOptions,
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
		noteCrash(crashed).map((suspect) => [suspect.identity, suspect.crashes]),
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
