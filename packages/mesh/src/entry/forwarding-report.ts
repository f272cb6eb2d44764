/**
 * Reports the end of a request: a metric for each request, and a log event with
 * its details for each request that no target answered, or that a target
 * answered with a failure.
 */
import type {MeshMetrics, MeshOutcome} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {DecidingVersion} from '../configuration/deciding-version.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {localNode} from './local-candidate.js';
import type {NewWork} from './route-pressure.js';

/** Dependencies of the reports. */
export type ReportOptions = {
	clock: Clock;
	reporter: MeshReporter;
	metrics: MeshMetrics;
};

/** A request at its end. */
export type EndedRequest = {
	request: Pick<CallerRequest, 'requestId' | 'arrivedAt'>;
	work: NewWork;
	decidedBy: DecidingVersion;
	isInner: boolean;
	/** Attempts that reached a target. */
	arrivals: number;
	/** Attempts that the target's node refused. */
	refusals: number;
	/** The node of the last target that answered. */
	answeredBy: string;
	/** The share of requests of this kind, from 0 to 1, that entry nodes shed on its arrival. */
	shed: number;
};

/** Milliseconds within which a reported configuration is usually received; shorter delays are not logged. */
const usualTransferTime = 200;
/** Milliseconds after which such requests are no longer logged: a configuration that can't be decoded would cause a line for each request. */
const maxReportedOutdatedTime = 30_000;
/** The lowest status of a server error (RFC 9110, section 15.6). */
const minServerErrorStatus = 500;

/** Reports a request that was answered. */
export function reportAnswer(
	options: ReportOptions,
	ended: EndedRequest,
	final: FinalAnswer,
): void {
	const {clock, metrics, reporter} = options;
	const {requestId, arrivedAt} = ended.request;
	const duration = clock.now() - arrivedAt;
	metrics.requestEnded({
		route: ended.work.route,
		outcome: outcomeOf(final),
		reason: final.kind === 'own' ? final.reason : '',
		duration,
	});
	if (final.kind === 'own') {
		reporter.decision(
			'meshOwnAnswer',
			requestId,
			final.reason,
			detailsOf(ended, final.status, duration),
		);
	} else if (final.status >= minServerErrorStatus) {
		reporter.decision('meshTargetFailed', requestId, 'targetFailed', {
			...detailsOf(ended, final.status, duration),
			from: ended.answeredBy === localNode ? 'own' : ended.answeredBy,
		});
	}
}

/**
 * Reports a request that is forwarded by a configuration although a newer one
 * has been known for longer than a healthy node needs to receive it.
 */
export function reportOutdatedRoute(
	{reporter}: Pick<ReportOptions, 'reporter'>,
	{
		request,
		work,
		decidedBy,
	}: Pick<EndedRequest, 'request' | 'work' | 'decidedBy'>,
): void {
	const {newerKnownFor = 0} = decidedBy;
	if (
		newerKnownFor >= usualTransferTime &&
		newerKnownFor < maxReportedOutdatedTime
	) {
		reporter.decision('meshOutdatedRoute', request.requestId, 'newerKnown', {
			route: work.route,
			service: work.service,
			...decidedBy,
		});
	}
}

/** Reports a request whose caller disconnected. */
export function reportLeft(
	{clock, metrics}: ReportOptions,
	{request, work}: EndedRequest,
): void {
	metrics.requestEnded({
		route: work.route,
		outcome: 'left',
		reason: '',
		duration: clock.now() - request.arrivedAt,
	});
}

function detailsOf(
	{work, decidedBy, isInner, arrivals, refusals, shed}: EndedRequest,
	status: number,
	duration: number,
) {
	return {
		status,
		route: work.route,
		service: work.service,
		isInner,
		arrivals,
		refusals,
		shed: Math.round(shed * 100) / 100,
		waited: Math.round(duration),
		...decidedBy,
	};
}

function outcomeOf(final: FinalAnswer): MeshOutcome {
	if (final.kind === 'own') {
		return final.status === 503 ? 'refused' : 'unknown';
	}

	return final.status < 300 ? 'answered' : 'failed';
}
