/**
 * The target's side of the node: every request for the target, from whatever
 * entry, passes the admission here and is handed over at most once.
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
import type {NodeReporter} from './node-reporter.js';
import type {RunningRequests} from './running-requests.js';
import type {TargetClient} from './target-client.js';
import {createTargetWatch} from './target-watch.js';
import {readCompletion, readOutcome} from './target-outcome.js';
import {refuseTicket} from './ticket-refusal.js';
import {createTurnQueue} from './turn-queue.js';

/** What the ingress is built from. */
export type IngressContext = {
	clock: Clock;
	admission: AdmissionPolicy;
	target: TargetClient;
	announcement: TargetAnnouncement;
	running: RunningRequests;
	reporter: NodeReporter;
	/** Requests under which targets crashed. */
	quarantine: NodeQuarantine;
	/** A reason for which nothing new may run now: a pause beyond the lease. */
	refusalOf(): ErrorCode | undefined;
};

/** The door to the target. */
export type Ingress = {
	/** Resolves once, always; the signal tells that the caller gave up. */
	run(request: CallRequest, signal: AbortSignal): Promise<Outcome>;
	/** From now on nothing new is admitted; what waits is handed back as not run. */
	leave(): void;
	/** Takes work again. */
	rejoin(): void;
	isLeaving(): boolean;
	/** The load, with the level that holds for the operation. */
	report(operation?: string): LoadReport;
	/** Requests at the target now. */
	inFlight(): number;
	/** Resolves when nothing runs any more. */
	whenIdle(): Promise<void>;
};

/** Milliseconds after which a caller refused by a leaving or paused node comes back: another target serves it at once. */
const elsewhereDelay = 0;

/** Creates the ingress of one target. */
export function createIngress(context: IngressContext): Ingress {
	const {clock, admission, reporter} = context;
	const turns = createTurnQueue(clock, admission);
	const idle = createIdleCounter();
	const watch = createTargetWatch(context, () => isLeaving);
	const isolated = createIsolatedTurns();
	let attempts = 0;
	let isLeaving = false;

	const ended = (facts: CallFacts, completion: Completion) => {
		idle.leave();
		admission.finish(facts.id, completion, clock.now());
		turns.takeTurns();
	};

	const dispatch = async (
		request: CallRequest,
		facts: CallFacts,
		ticket: HandOverTicket,
		signal: AbortSignal,
	): Promise<Outcome> => {
		const startedAt = clock.now();
		idle.enter();
		// A process that was frozen here wakes with its old plans; the deadline
		// is read again so that nothing starts for a caller that has gone.
		const late = checkLate(facts, startedAt, context.refusalOf());
		if (late !== undefined || signal.aborted || !ticket.handOver()) {
			ended(facts, {duration: 0, result: 'cancelled'});
			const code = late ?? ErrorCode.CallerGone;
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
			context.target.send(request, timeLeft, signal),
		);
		context.running.remove(request.id);
		const duration = clock.now() - startedAt;
		reporter.decide({
			name: 'targetEnded',
			request: request.id,
			reason: result.kind,
			details: {duration},
		});
		ended(facts, {duration, result: readCompletion(result, signal)});
		return readOutcome(result, admission.report(clock.now()));
	};

	const findObstacle = () =>
		isLeaving ? ErrorCode.Leaving : context.refusalOf();

	const refuseQuarantined = () =>
		createUnknownOutcome(createRefusal(ErrorCode.Quarantined));

	/** One of those that may crash the target runs at a time. */
	const runApart = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<Outcome> => {
		const turn = await isolated.enter(signal);
		if (!turn) {
			return refuseTicket(createHandOverTicket(), {
				code: ErrorCode.CallerGone,
				retryAfter: 0,
			});
		}

		// The one before it may have been the same request.
		const outcome = context.quarantine.bars(request)
			? refuseQuarantined()
			: await runAdmitted(request, signal);
		turn.leave();
		return outcome;
	};

	const runAdmitted: Ingress['run'] = async (request, signal) => {
		const now = clock.now();
		const ticket = createHandOverTicket();
		const facts: CallFacts = {
			...readFacts(request, now),
			id: `${request.id}#${attempts++}`,
		};
		const barred = signal.aborted ? ErrorCode.CallerGone : findObstacle();
		if (barred !== undefined) {
			reporter.decide({
				name: 'admissionRefused',
				request: request.id,
				reason: ErrorCode[barred],
			});
			return refuseTicket(ticket, {code: barred, retryAfter: elsewhereDelay});
		}

		const decision = admission.arrive(facts, now);
		reporter.decide({
			name: admissionNames[decision.kind],
			request: request.id,
			reason: decision.reason,
		});
		if (decision.kind === 'refuse') {
			return refuseTicket(ticket, decision);
		}

		if (decision.kind === 'wait') {
			const turn = await turns.wait(facts, signal);
			reporter.decide({
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

			return context.quarantine.bars(request)
				? refuseQuarantined()
				: runApart(request, signal);
		},
		leave() {
			isLeaving = true;
			turns.drain();
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

const admissionNames = {
	dispatch: 'admitted',
	wait: 'queued',
	refuse: 'admissionRefused',
} as const;

function checkLate(
	facts: CallFacts,
	now: number,
	barred: ErrorCode | undefined,
): ErrorCode | undefined {
	return facts.deadline <= now ? ErrorCode.DeadlinePassed : barred;
}
