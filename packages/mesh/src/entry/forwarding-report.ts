/**
 * Reports the end of a request: a metric for each request, and a log event with
 * its details for each request that no target answered, or that a target
 * answered with a failure.
 */
import type {MeshMetrics, MeshOutcome} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {MeshReporter} from '../mesh-reporter.js';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {localNode} from './local-candidate.js';

/** Details known on arrival; logged with the request. */
export type ForwardingFacts = {
	route: string;
	service: string;
	isInner: boolean;
};

/** The attempts of a request, at its end. */
export type ForwardingAttempts = {
	/** Attempts that reached a target. */
	arrivals: number;
	/** Attempts that the target's node refused. */
	refusals: number;
	/** The node of the last target that answered. */
	answeredBy: string;
	/** The share of requests of this kind, from 0 to 1, that entry nodes shed at its last attempt. */
	shed: number;
};

/** Reports the end of one request; exactly one of the methods is called, once. */
export type ForwardingReport = {
	answered(final: FinalAnswer, attempts: ForwardingAttempts): void;
	/** The caller disconnected. */
	left(): void;
};

/** The lowest status of a server error (RFC 9110, section 15.6). */
const minServerErrorStatus = 500;

/** Creates the report of a request on its arrival. */
export function createForwardingReport(
	{
		clock,
		reporter,
		metrics,
	}: {clock: Clock; reporter: MeshReporter; metrics: MeshMetrics},
	{requestId, arrivedAt}: CallerRequest,
	facts: ForwardingFacts,
): ForwardingReport {
	const count = (outcome: MeshOutcome, reason: string) => {
		metrics.requestEnded({
			route: facts.route,
			outcome,
			reason,
			duration: clock.now() - arrivedAt,
		});
	};

	return {
		answered(final, {arrivals, refusals, answeredBy, shed}) {
			count(outcomeOf(final), final.kind === 'own' ? final.reason : '');
			const details = {
				status: final.status,
				...facts,
				arrivals,
				refusals,
				shed: Math.round(shed * 100) / 100,
				waited: Math.round(clock.now() - arrivedAt),
			};
			if (final.kind === 'own') {
				reporter.decision('meshOwnAnswer', requestId, final.reason, details);
			} else if (final.status >= minServerErrorStatus) {
				reporter.decision('meshTargetFailed', requestId, 'targetFailed', {
					...details,
					from: answeredBy === localNode ? 'own' : answeredBy,
				});
			}
		},
		left() {
			count('left', '');
		},
	};
}

function outcomeOf(final: FinalAnswer): MeshOutcome {
	if (final.kind === 'own') {
		return final.status === 503 ? 'refused' : 'unknown';
	}

	return final.status < 300 ? 'answered' : 'failed';
}
