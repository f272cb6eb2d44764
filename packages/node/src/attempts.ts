/** The attempts of one request at its entry node: tracks what was tried and how many attempts are left. */
import {
	createRefusal,
	ErrorCode,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';
import type {
	AttemptResult,
	CallFacts,
	RoutingPolicy,
} from '@egretspoke/decisions';
import {sleep, type Clock} from '@egretspoke/shared';
import type {AttemptSender, SendTicket} from './attempt-sender.js';
import type {NodeReporter} from './node-reporter.js';
import type {EntryCall} from './request-chain.js';

/** The attempts of one request. */
export type Attempts = {
	send(ticket: SendTicket, signal: AbortSignal): Promise<Outcome>;
	/** Resolves with undefined once another attempt may be made, or with the refusal to return. */
	retry(refusal: Refusal, signal: AbortSignal): Promise<Refusal | undefined>;
	/** Returns unused attempts to the chain. */
	finish(): void;
};

/** Dependencies of the attempts. */
export type AttemptsContext = {
	clock: Clock;
	routing: RoutingPolicy;
	send: AttemptSender;
	reporter: NodeReporter;
};

/** Makes attempt ids unique within the process, also when a request passes this node twice. */
let attemptNumber = 0;

/** Creates the attempts of a new request. */
export function createAttempts(
	context: AttemptsContext,
	call: EntryCall,
): Attempts {
	const {clock, routing, reporter} = context;
	const {request} = call;
	let left = request.attempts;
	let exclude: string[] = [];
	let lastAttempt: {facts: CallFacts; result: AttemptResult} | undefined;

	const createFacts = (): CallFacts => ({
		id: `${request.id}~${attemptNumber++}`,
		chain: request.id,
		service: request.service,
		requestClass: request.requestClass,
		caller: request.caller,
		operation: call.operation,
		deadline: call.deadline,
		attempts: left,
		idempotent: request.idempotent,
		...(request.priority !== undefined && {priority: request.priority}),
	});

	return {
		async send(ticket, signal) {
			const options = {exclude, ticket, signal};
			const attempt = createFacts();
			const sent = await context.send(request, attempt, options);
			lastAttempt = sent.result && {facts: attempt, result: sent.result};
			// A definite refusal used no attempts downstream; any other outcome may
			// have used all that were granted.
			left -= sent.outcome.kind === 'notRun' ? 0 : sent.granted;
			return sent.outcome;
		},
		async retry(refusal, signal) {
			if (lastAttempt === undefined || signal.aborted) {
				return refusal;
			}

			if (lastAttempt.result.result === 'unknown') {
				// The attempt is already deducted, but the decision expects a count
				// that includes it.
				left += 1;
			}

			const tried = {...lastAttempt.facts, attempts: left};
			const decision = routing.retry(tried, lastAttempt.result, clock.now());
			left -= 1;
			reporter.recordDecision({
				name: decision.kind === 'retry' ? 'retried' : 'retryRefused',
				request: request.id,
				reason: decision.reason,
				service: request.service,
			});
			if (decision.kind === 'refuse') {
				const {code, reason, retryAfter} = decision;
				return createRefusal(code, {detail: reason, retryAfter});
			}

			exclude = [...exclude, ...decision.exclude];
			if (decision.delay > 0) {
				await sleep(clock, decision.delay, signal);
			}

			return signal.aborted ? createRefusal(ErrorCode.CallerGone) : undefined;
		},
		finish() {
			const unused = Math.min(left, request.attempts - 1);
			call.allocation?.returnUnused(Math.max(0, unused));
		},
	};
}
