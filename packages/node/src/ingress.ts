/**
 * The target's side of a node: every request for the local target, from any
 * entry node, passes admission here and is handed over at most once.
 */
import {
	createUnknownOutcome,
	createHandOverTicket,
	createRefusal,
	ErrorCode,
	type CallRequest,
	type HandOverTicket,
	type LoadReport,
	type Outcome,
	type TargetAnnouncement,
} from '@egretspoke/protocol';
import type {
	AdmissionPolicy,
	CallFacts,
	Completion,
} from '@egretspoke/decisions';
import {isIsolated} from '@egretspoke/quarantine';
import type {Clock} from '@egretspoke/shared';
import {readFacts} from './call-facts.js';
import {createIdleCounter} from './idle-counter.js';
import {createIsolatedTurns} from './isolated-turns.js';
import type {NodeQuarantine} from './node-quarantine.js';
import {describeError, type NodeReporter} from './node-reporter.js';
import type {RunningRequests} from './running-requests.js';
import type {TargetClient} from './target-client.js';
import {createTargetWatch} from './target-watch.js';
import {readCompletion, readOutcome} from './target-outcome.js';
import {refuseTicket} from './ticket-refusal.js';
import {createAdmissionWaiters} from './admission-waiters.js';

/** Dependencies of the ingress. */
export type IngressContext = {
	clock: Clock;
	admission: AdmissionPolicy;
	target: TargetClient;
	announcement: TargetAnnouncement;
	running: RunningRequests;
	reporter: NodeReporter;
	/** Tracks requests that were running when targets crashed. */
	quarantine: NodeQuarantine;
	/**
	 * The error code with which new requests are refused, as after a pause longer
	 * than the lease; undefined while they may run.
	 */
	getRefusalCode(): ErrorCode | undefined;
};

/** Admits requests to the local target. */
export type Ingress = {
	/** Always resolves; the signal aborts when the caller gives up. */
	run(request: CallRequest, signal: AbortSignal): Promise<Outcome>;
	/** Stops admitting new requests and refuses waiting ones as "not run". */
	leave(): void;
	/** Admits requests again after `leave`. */
	rejoin(): void;
	isLeaving(): boolean;
	/** The load report, with the shed level that applies to the operation. */
	report(operation?: string): LoadReport;
	/** Number of requests at the target. */
	inFlight(): number;
	/** Resolves when no request is running. */
	whenIdle(): Promise<void>;
};

/**
 * Retry-After in milliseconds of a refusal by a leaving or paused node; 0
 * because another target can serve the request immediately.
 */
const leavingRetryAfterMs = 0;

/** Creates the ingress of one target. */
export function createIngress(context: IngressContext): Ingress {
	const {clock, admission, reporter} = context;
	const waiters = createAdmissionWaiters(clock, admission);
	const idle = createIdleCounter();
	const watch = createTargetWatch(context, () => isLeaving);
	const isolatedTurns = createIsolatedTurns();
	let attempts = 0;
	let isLeaving = false;

	const complete = (facts: CallFacts, completion: Completion) => {
		idle.leave();
		admission.finish(facts.id, completion, clock.now());
		waiters.settleDue();
	};

	/** A throwing client would leave the slot of the request taken for ever. */
	const sendSafely: TargetClient['send'] = async (...parameters) => {
		try {
			return await context.target.send(...parameters);
		} catch (error) {
			return {kind: 'lost', detail: describeError(error)};
		}
	};

	const dispatch = async (
		request: CallRequest,
		facts: CallFacts,
		ticket: HandOverTicket,
		signal: AbortSignal,
	): Promise<Outcome> => {
		const startedAt = clock.now();
		idle.enter();
		// The process may have been frozen since the admission decision. The
		// deadline is checked again so that nothing starts for a caller that has
		// gone.
		const refusalCode = findLateRefusal(
			facts,
			startedAt,
			context.getRefusalCode(),
		);
		if (refusalCode !== undefined || signal.aborted || !ticket.handOver()) {
			complete(facts, {duration: 0, result: 'cancelled'});
			const code = refusalCode ?? ErrorCode.CallerGone;
			return refuseTicket(ticket, {code, retryAfter: 0});
		}

		context.running.add({
			id: request.id,
			requestClass: request.requestClass,
			caller: request.caller,
			deadline: facts.deadline,
			spareAttempts: Math.max(0, request.attempts - 1),
			callsMade: new Map(),
			signal,
		});
		const timeLeft = facts.deadline - startedAt;
		const result = await watch.run(request, signal, async () =>
			sendSafely(request, timeLeft, signal),
		);
		context.running.remove(request.id);
		const duration = clock.now() - startedAt;
		reporter.recordDecision({
			name: 'targetEnded',
			request: request.id,
			reason: result.kind,
			details: {duration},
		});
		complete(facts, {duration, result: readCompletion(result, signal)});
		return readOutcome(result, admission.report(clock.now()));
	};

	const findRefusal = () =>
		isLeaving ? ErrorCode.Leaving : context.getRefusalCode();

	const refuseQuarantined = () =>
		createUnknownOutcome(createRefusal(ErrorCode.Quarantined));

	/** Runs a request that may crash the target; only one such request runs at a time. */
	const runIsolated = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<Outcome> => {
		const turn = await isolatedTurns.enter(signal);
		if (!turn) {
			return refuseTicket(createHandOverTicket(), {
				code: ErrorCode.CallerGone,
				retryAfter: 0,
			});
		}

		try {
			// The previous turn may have run the same request, and crashed the target
			// again.
			return context.quarantine.blocks(request)
				? refuseQuarantined()
				: await runAdmitted(request, signal);
		} finally {
			turn.leave();
		}
	};

	const runAdmitted: Ingress['run'] = async (request, signal) => {
		const now = clock.now();
		const ticket = createHandOverTicket();
		const facts: CallFacts = {
			...readFacts(request, now),
			id: `${request.id}#${attempts++}`,
		};
		const refusalCode = signal.aborted ? ErrorCode.CallerGone : findRefusal();
		if (refusalCode !== undefined) {
			reporter.recordDecision({
				name: 'admissionRefused',
				request: request.id,
				reason: ErrorCode[refusalCode],
			});
			return refuseTicket(ticket, {
				code: refusalCode,
				retryAfter: leavingRetryAfterMs,
			});
		}

		const decision = admission.arrive(facts, now);
		reporter.recordDecision({
			name: admissionEvents[decision.kind],
			request: request.id,
			reason: decision.reason,
		});
		if (decision.kind === 'refuse') {
			return refuseTicket(ticket, decision);
		}

		if (decision.kind === 'wait') {
			const turn = await waiters.wait(facts, signal);
			reporter.recordDecision({
				name: turn.kind === 'dispatch' ? 'dispatched' : 'admissionRefused',
				request: request.id,
				reason: turn.reason,
			});
			if (turn.kind === 'refuse') {
				return refuseTicket(ticket, turn);
			}
		}

		reporter.waited(request.service, clock.now() - now);
		return dispatch(request, facts, ticket, signal);
	};

	return {
		async run(request, signal) {
			const suspect = context.quarantine.lookUp(request);
			if (!suspect || !isIsolated(suspect)) {
				return runAdmitted(request, signal);
			}

			return context.quarantine.blocks(request)
				? refuseQuarantined()
				: runIsolated(request, signal);
		},
		leave() {
			isLeaving = true;
			waiters.drain();
		},
		rejoin() {
			isLeaving = false;
		},
		isLeaving: () => isLeaving,
		report: (operation) => admission.report(clock.now(), operation),
		inFlight: idle.count,
		whenIdle: idle.whenIdle,
	};
}

const admissionEvents = {
	dispatch: 'admitted',
	wait: 'queued',
	refuse: 'admissionRefused',
} as const;

function findLateRefusal(
	facts: CallFacts,
	now: number,
	refusalCode: ErrorCode | undefined,
): ErrorCode | undefined {
	return facts.deadline <= now ? ErrorCode.DeadlinePassed : refusalCode;
}
