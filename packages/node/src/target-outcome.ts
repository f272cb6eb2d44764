/**
 * Maps the result of an exchange with the target to the outcome for its caller
 * and to the completion for the admission.
 */
import type {Completion} from '@egretspoke/decisions';
import {
	acceptCertifiedRefusal,
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
	createNotRunOutcome,
	type LoadReport,
	type Outcome,
} from '@egretspoke/protocol';
import type {TargetResult} from './target-client.js';

/**
 * The outcome of an exchange. Only a refusal that the target certifies, or a
 * connection that was never established, is `notRun`.
 */
export function readOutcome(result: TargetResult, load: LoadReport): Outcome {
	const read = outcomeReaders[result.kind] as (
		result: TargetResult,
		load: LoadReport,
	) => Outcome;
	return read(result, load);
}

/** How the admission counts an exchange. */
export function readCompletion(
	result: TargetResult,
	signal: AbortSignal,
): Completion['result'] {
	return signal.aborted ? 'cancelled' : completions[result.kind];
}

const completions: Record<TargetResult['kind'], Completion['result']> = {
	answer: 'ok',
	shed: 'shed',
	unreachable: 'failed',
	lost: 'failed',
	cut: 'failed',
};

type OutcomeReaders = {
	[Kind in TargetResult['kind']]: (
		result: Extract<TargetResult, {kind: Kind}>,
		load: LoadReport,
	) => Outcome;
};

const outcomeReaders: OutcomeReaders = {
	answer: ({answer}) => ({kind: 'answered', answer}),
	shed: ({retryAfter}, load) =>
		createNotRunOutcome(
			acceptCertifiedRefusal('target'),
			createRefusal(ErrorCode.TargetShed, {
				retryAfter: retryAfter ?? Math.ceil(load.serviceTime),
			}),
		),
	unreachable: ({detail}) =>
		createNotRunOutcome(
			acceptCertifiedRefusal('connectRefused'),
			createRefusal(ErrorCode.TargetUnreachable, {detail, retryAfter: 0}),
		),
	lost: ({detail}) =>
		createUnknownOutcome(createRefusal(ErrorCode.AnswerLost, {detail})),
	cut: ({detail}) =>
		createUnknownOutcome(createRefusal(ErrorCode.AnswerCut, {detail})),
};
