/**
 * What is told of a request's end: one count for each, and a line for each that
 * a target did not answer with a success, with the facts that decided it.
 */
import type {MeshMetrics, MeshOutcome} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {localNode} from './local-candidate.js';
import type {MeshReporter} from './mesh-reporter.js';

/** What was known when the request came in. */
export type ForwardingFacts = {
	route: string;
	service: string;
	isInner: boolean;
};

/** What had become of it at its end. */
export type ForwardingAttempts = {
	/** Targets that got it. */
	arrivals: number;
	/** Gatekeepers that turned it away. */
	refusals: number;
	/** The node whose target answered last. */
	answeredBy: string;
	/** The share of requests like this one, from 0 to 1, that entries refused at its last try. */
	shed: number;
};

/** Tells the end of one request; one of the two is called, once. */
export type ForwardingReport = {
	answered(final: FinalAnswer, attempts: ForwardingAttempts): void;
	/** The caller has gone. */
	left(): void;
};

/** The least status that tells of a failure on the target's side (RFC 9110, section 15.6). */
const minServerErrorStatus = 500;

/** Creates the report of a request that has just come in. */
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
