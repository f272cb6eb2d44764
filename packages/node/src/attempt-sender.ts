/**
 * One attempt at one target: makes the routing decision, sends the request to
 * the target's node and reports the result to the router.
 */
import {
	ErrorCode,
	type CallRequest,
	type LoadReport,
	type HandOverTicket,
	type Outcome,
} from '@egretspoke/protocol';
import type {
	AttemptResult,
	CallFacts,
	RoutingPolicy,
} from '@egretspoke/decisions';
import type {Clock} from '@egretspoke/shared';
import type {ExchangeResult} from './exchange-table.js';
import type {NodeReporter} from './node-reporter.js';
import {refuseTicket} from './ticket-refusal.js';

/** Calls the ingress of a node, which is either this one or a peer. */
export type TargetPath = (
	node: string,
	request: CallRequest,
	signal: AbortSignal,
) => Promise<ExchangeResult>;

/** The ticket that permits sending an attempt. */
export type SendTicket = Pick<HandOverTicket, 'handOver' | 'revoke'>;

/** The outcome of an attempt and where it was sent. */
export type SentAttempt = {
	outcome: Outcome;
	/** Absent when the attempt was refused before it was sent. */
	result?: AttemptResult;
	/** Attempts granted to the downstream chain. */
	granted: number;
};

/** Dependencies of the sender. */
export type AttemptSenderContext = {
	clock: Clock;
	routing: RoutingPolicy;
	reporter: NodeReporter;
	path: TargetPath;
};

/** Sends one attempt; always resolves. */
export type AttemptSender = (
	request: CallRequest,
	facts: CallFacts,
	options: {exclude: string[]; ticket: SendTicket; signal: AbortSignal},
) => Promise<SentAttempt>;

/** Creates the sender of an entry node. */
export function createAttemptSender(
	context: AttemptSenderContext,
): AttemptSender {
	const {clock, routing, reporter} = context;

	const observe = (service: string, node: string, load?: LoadReport) => {
		if (load) {
			routing.observe(service, node, load, clock.now());
		}
	};

	return async (request, facts, {exclude, ticket, signal}) => {
		const decision = routing.choose(facts, exclude, clock.now());
		if (decision.kind === 'refuse') {
			const {code, reason, retryAfter} = decision;
			reporter.recordDecision({
				name: 'routingRefused',
				request: request.id,
				reason,
			});
			return {
				outcome: refuseTicket(ticket, {code, reason, retryAfter}),
				granted: 0,
			};
		}

		const {node, reason} = decision;
		reporter.recordDecision({
			name: 'routed',
			request: request.id,
			reason,
			details: {node},
		});
		if (!ticket.handOver()) {
			return {
				outcome: refuseTicket(ticket, {
					code: ErrorCode.DeadlinePassed,
					retryAfter: 0,
				}),
				granted: 0,
			};
		}

		const startedAt = clock.now();
		const granted = Math.max(1, routing.downstreamAttempts(facts));
		routing.started(facts, node, startedAt);
		const {outcome, load} = await context.path(
			node,
			{...request, attempts: granted, timeLeft: facts.deadline - startedAt},
			signal,
		);
		const now = clock.now();
		observe(request.service, node, load);
		const result = readResult(node, outcome, now - startedAt, signal);
		routing.finished(facts, {...result, ...(load && {load})}, now);
		return {outcome, result, granted};
	};
}

function readResult(
	node: string,
	outcome: Outcome,
	duration: number,
	signal: AbortSignal,
): AttemptResult {
	if (outcome.kind === 'answered') {
		return {node, duration, result: 'ok'};
	}

	const {code, retryAfter} = outcome.refusal;
	const details = {
		node,
		duration,
		code,
		...(retryAfter !== undefined && {retryAfter}),
	};
	if (outcome.kind === 'notRun') {
		const isUnreachable = code === ErrorCode.TargetUnreachable;
		return {...details, result: isUnreachable ? 'unreachable' : 'notRun'};
	}

	return {...details, result: signal.aborted ? 'cancelled' : 'unknown'};
}
