/**
 * The target's side of the node: every request for the target, from whatever
 * entry, passes the admission here and is handed over at most once.
 */
import {
	acceptCertifiedRefusal,
	admitUnknown,
	createHandOverTicket,
	createRefusal,
	ErrorCode,
	refuseNotRun,
	type CallRequest,
	type HandOverTicket,
	type LoadReport,
	type NotRunProof,
	type Outcome,
	type TargetAnnouncement,
} from '@egretspoke/protocol';
import type {
	AdmissionPolicy,
	AdmissionTurn,
	CallFacts,
	Completion,
	RefusalDecision,
} from '@egretspoke/decisions';
import type {Clock, Timer} from '@egretspoke/shared';
import {createIdleCounter} from './idle-counter.js';
import type {NodeReporter} from './node-reporter.js';
import type {RunningRequests} from './running-requests.js';
import type {TargetClient, TargetResult} from './target-client.js';

/** What the ingress is built from. */
export type IngressContext = {
	clock: Clock;
	admission: AdmissionPolicy;
	target: TargetClient;
	announcement: TargetAnnouncement;
	running: RunningRequests;
	reporter: NodeReporter;
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

type Waiting = {facts: CallFacts; settle(turn: AdmissionTurn): void};

/** Milliseconds after which a caller refused by a leaving or paused node comes back: another target serves it at once. */
const elsewhereDelay = 0;

/** Creates the ingress of one target. */
export function createIngress(context: IngressContext): Ingress {
	const {clock, admission, reporter} = context;
	const waiting = new Map<string, Waiting>();
	let attempts = 0;
	const idle = createIdleCounter();
	let isLeaving = false;
	let wake: Timer | undefined;

	const takeTurns = () => {
		for (const turn of admission.turns(clock.now())) {
			settleTurn(turn);
		}

		setWake();
	};

	const settleTurn = (turn: AdmissionTurn) => {
		const entry = waiting.get(turn.id);
		waiting.delete(turn.id);
		entry?.settle(turn);
	};

	const setWake = () => {
		wake?.cancel();
		const at = admission.wakeAt();
		wake =
			at === undefined
				? undefined
				: clock.setTimer(Math.max(0, at - clock.now()), takeTurns);
	};

	const ended = (facts: CallFacts, completion: Completion) => {
		idle.leave();
		admission.finish(facts.id, completion, clock.now());
		takeTurns();
	};

	/** Waits for a turn; a caller that gives up while waiting takes its request back. */
	const waitForTurn = async (
		facts: CallFacts,
		signal: AbortSignal,
	): Promise<AdmissionTurn> =>
		new Promise((resolve) => {
			const settle = (turn: AdmissionTurn) => {
				signal.removeEventListener('abort', giveUp);
				resolve(turn);
			};

			const giveUp = () => {
				if (waiting.delete(facts.id)) {
					admission.withdraw(facts.id, clock.now());
					setWake();
					settle({
						id: facts.id,
						kind: 'refuse',
						code: ErrorCode.CallerGone,
						reason: 'the caller gave up while it waited',
						retryAfter: 0,
					});
				}
			};

			waiting.set(facts.id, {facts, settle});
			signal.addEventListener('abort', giveUp);
			setWake();
		});

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
			return refuseTicket(ticket, late ?? ErrorCode.CallerGone);
		}

		context.running.add({
			id: request.id,
			requestClass: request.requestClass,
			deadline: facts.deadline,
			spareAttempts: Math.max(0, request.attempts - 1),
			callsMade: new Map(),
			signal,
		});
		const result = await context.target.send(
			request,
			facts.deadline - startedAt,
			signal,
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

	return {
		async run(request, signal) {
			const now = clock.now();
			const ticket = createHandOverTicket();
			const facts: CallFacts = {
				...readFacts(request, now),
				id: `${request.id}#${attempts++}`,
			};
			const barred = isLeaving ? ErrorCode.Leaving : context.refusalOf();
			if (barred !== undefined) {
				reporter.decide({
					name: 'admissionRefused',
					request: request.id,
					reason: ErrorCode[barred],
				});
				return refuseTicket(ticket, barred, elsewhereDelay);
			}

			const decision = admission.arrive(facts, now);
			reporter.decide({
				name: admissionNames[decision.kind],
				request: request.id,
				reason: decision.reason,
			});
			if (decision.kind === 'refuse') {
				return refuseDecision(ticket, decision);
			}

			if (decision.kind === 'wait') {
				const turn = await waitForTurn(facts, signal);
				reporter.decide({
					name: turn.kind === 'dispatch' ? 'dispatched' : 'admissionRefused',
					request: request.id,
					reason: turn.reason,
				});
				if (turn.kind === 'refuse') {
					return refuseDecision(ticket, turn);
				}
			}

			reporter.waited(request.service, clock.now() - now);
			return dispatch(request, facts, ticket, signal);
		},
		leave() {
			isLeaving = true;
			for (const turn of admission.drain(clock.now())) {
				settleTurn(turn);
			}

			setWake();
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

/** The facts of a request that arrives now. */
export function readFacts(request: CallRequest, now: number): CallFacts {
	return {
		id: request.id,
		service: request.service,
		requestClass: request.requestClass,
		caller: request.caller,
		operation: readOperation(request),
		deadline: now + request.timeLeft,
		attempts: request.attempts,
		idempotent: request.idempotent,
		chain: request.id,
		...(request.priority !== undefined && {priority: request.priority}),
	};
}

/** Method and path, with whatever looks like an identifier left out, so that durations are learnt by kind. */
export function readOperation({
	method,
	path,
}: Pick<CallRequest, 'method' | 'path'>): string {
	const [route = ''] = path.split('?', 1);
	return `${method} ${route.replaceAll(/\/[^/]*\d[^/]*/gu, '/*')}`;
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

function refuseDecision(
	ticket: HandOverTicket,
	{code, reason, retryAfter}: RefusalDecision,
): Outcome {
	return refuseTicket(ticket, code, retryAfter, reason);
}

/** Says "not run" if the ticket still proves it, and "unknown" if it doesn't. */
function refuseTicket(
	ticket: HandOverTicket,
	code: ErrorCode,
	retryAfter = 0,
	reason?: string,
): Outcome {
	const refusal = createRefusal(code, {
		retryAfter,
		...(reason !== undefined && {detail: reason}),
	});
	return ticket.surrender().match(
		(proof: NotRunProof) => refuseNotRun(proof, refusal),
		() => admitUnknown(refusal),
	);
}

function readCompletion(
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
		refuseNotRun(
			acceptCertifiedRefusal('target'),
			createRefusal(ErrorCode.TargetShed, {
				retryAfter: retryAfter ?? Math.ceil(load.serviceTime),
			}),
		),
	unreachable: ({detail}) =>
		refuseNotRun(
			acceptCertifiedRefusal('connectRefused'),
			createRefusal(ErrorCode.TargetUnreachable, {detail, retryAfter: 0}),
		),
	lost: ({detail}) =>
		admitUnknown(createRefusal(ErrorCode.AnswerLost, {detail})),
	cut: ({detail}) => admitUnknown(createRefusal(ErrorCode.AnswerCut, {detail})),
};

function readOutcome(result: TargetResult, load: LoadReport): Outcome {
	const read = outcomeReaders[result.kind] as (
		result: TargetResult,
		load: LoadReport,
	) => Outcome;
	return read(result, load);
}
