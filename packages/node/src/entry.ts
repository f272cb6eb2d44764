/**
 * Handles requests at the entry node: from a caller's request to its single
 * final answer, over as many attempts as its chain, its deadline and the retry
 * budget allow.
 */
import {
	attemptAtMostOnce,
	type AttemptHandler,
	type Ledger,
} from '@egretspoke/ledger';
import {
	ErrorCode,
	formatHome,
	type CallRequest,
	type Home,
	type Outcome,
} from '@egretspoke/protocol';
import type {RoutingPolicy} from '@egretspoke/decisions';
import {fingerprintRequest, type Clock} from '@egretspoke/shared';
import type {AttemptSender} from './attempt-sender.js';
import {createAttempts} from './attempts.js';
import type {
	CallerEntry,
	CallerOutcome,
	CallerRequest,
} from './caller-request.js';
import {refuseAsNotRun, refuseAsUnknown} from './entry-refusal.js';
import {createKeyRefusals} from './entry-keys.js';
import {attemptIdempotent} from './attempt-idempotent.js';
import type {ExchangeResult} from './exchange-table.js';
import {createIdleCounter} from './idle-counter.js';
import {readOperation} from './call-facts.js';
import {reportKey} from './key-report.js';
import {createLinkedAbort, type LinkedAbort} from './linked-abort.js';
import type {NodeQuarantine} from './node-quarantine.js';
import type {NodeReporter} from './node-reporter.js';
import {
	createEntryCall,
	type Classification,
	type EntryCall,
} from './request-chain.js';
import type {RunningRequests} from './running-requests.js';

/** Dependencies of the entry. */
export type EntryContext = {
	clock: Clock;
	self: Home;
	routing: RoutingPolicy;
	send: AttemptSender;
	ledger: Ledger;
	/** Maximum time in milliseconds for which this home remembers a key. */
	keyLifetime: number;
	/** `attemptAtMostOnce` when absent. */
	attemptHandler?: AttemptHandler;
	running: RunningRequests;
	reporter: NodeReporter;
	/** Tracks requests that were running when targets crashed. */
	quarantine: NodeQuarantine;
	/** Undefined for a service that is neither configured nor announced. */
	classify(
		service: string,
		method: string,
		path: string,
	): Classification | undefined;
	/** Upper bound in milliseconds on how long a request that is read now has been waiting. */
	maxMessageAge(): number;
	/** Priority number of a request that runs at the local target. */
	priorityOf(request: string): number | undefined;
	/** Forwards a request to the home of its key. */
	forwardToHome(
		home: Home,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<ExchangeResult>;
	/** The error code with which new requests are refused; undefined while they are accepted. */
	getRefusalCode(): ErrorCode | undefined;
};

/** Serves callers, and peers that forward a request to the home of its key. */
export type Entry = CallerEntry & {
	/** Handles a forwarded request whose key has its home on this node. */
	handleAtHome(request: CallRequest, signal: AbortSignal): Promise<Outcome>;
	/** Number of requests that have not been answered yet. */
	openRequests(): number;
	/** Resolves when every request has been answered. */
	whenIdle(): Promise<void>;
};

type CallHandler = (call: EntryCall, caller: LinkedAbort) => Promise<Outcome>;

/** Refusals after which the caller has to repeat the request with a home and an expiry. */
const codesWithProposedExpiry: ReadonlySet<ErrorCode> = new Set([
	ErrorCode.HomeRequired,
	ErrorCode.KeyExpiryRequired,
]);

/** Retry-After in milliseconds when the home of a key could not be reached. */
const homeRetryAfterMs = 1000;

/** Creates the entry of one node. */
export function createEntry(context: EntryContext): Entry {
	const {clock, reporter, running, self} = context;
	const {attemptHandler = attemptAtMostOnce} = context;
	const idle = createIdleCounter();
	const keys = createKeyRefusals(self, context.ledger);

	const handle = async (
		incoming: CallerRequest,
		signal: AbortSignal,
	): Promise<CallerOutcome> => {
		const {service, method, path} = incoming;
		const rules = context.classify(service, method, path);
		if (!rules) {
			return recordRefusal(
				incoming,
				keys.refuse(incoming, ErrorCode.UnknownService),
			);
		}

		const refusalCode = context.getRefusalCode();
		if (
			refusalCode !== undefined &&
			!isDownstreamCall(incoming) &&
			!keys.isRepeatHere(incoming)
		) {
			return recordRefusal(incoming, keys.refuse(incoming, refusalCode, 0));
		}

		const call = createEntryCall(incoming, rules, running, {
			now: clock.now(),
			age: context.maxMessageAge(),
		});
		if (call.isErr()) {
			const {code, retryAfter} = call.error;
			return recordRefusal(incoming, keys.refuse(incoming, code, retryAfter));
		}

		const startedAt = clock.now();
		const {request, allocation} = call.value;
		if (context.quarantine.blocks(request)) {
			return recordRefusal(incoming, refuseAsUnknown(ErrorCode.Quarantined));
		}

		const priority = allocation && context.priorityOf(request.id);
		if (priority !== undefined) {
			request.priority = priority;
		}

		const linked = createLinkedAbort(signal, allocation?.signal);
		const outcome = await chooseHandler(incoming, call.value)(
			call.value,
			linked,
		);
		linked.release();
		reporter.recordRequestEnd({
			request: request.id,
			service,
			requestClass: request.requestClass,
			outcome,
			duration: clock.now() - startedAt,
			role: 'entry',
		});
		return {
			request: request.id,
			outcome,
			home: incoming.home ?? self,
			...proposeExpiry(outcome),
		};
	};

	/** The expiry to propose for a key. With it and the home, the caller can send a key that it may repeat. */
	const proposeExpiry = (outcome: Outcome): Pick<CallerOutcome, 'keyExpiry'> =>
		outcome.kind === 'notRun' &&
		codesWithProposedExpiry.has(outcome.refusal.code)
			? {keyExpiry: clock.date().getTime() + context.keyLifetime}
			: {};

	/**
	 * Calls of the local target are still accepted while the node is leaving,
	 * because they belong to requests in flight.
	 */
	const isDownstreamCall = ({id}: CallerRequest) =>
		id !== undefined && running.has(id);

	const chooseHandler = (
		{home, key}: CallerRequest,
		{request}: EntryCall,
	): CallHandler => {
		if (request.idempotent) {
			return handleIdempotent;
		}

		if (key === undefined) {
			return async () => refuseAsNotRun(ErrorCode.KeyRequired);
		}

		if (home === undefined) {
			return async () => refuseAsNotRun(ErrorCode.HomeRequired);
		}

		return formatHome(home) === formatHome(self)
			? handleKey
			: async (call, caller) => pass(home, call, caller);
	};

	const handleIdempotent: CallHandler = async (call, caller) =>
		runUntilDeadline(call, caller, async () =>
			attemptIdempotent(context, call, caller.signal),
		);

	/**
	 * Aborts the work at the deadline as if the caller had gone, so that the
	 * caller gets its final answer immediately.
	 */
	const runUntilDeadline = async (
		call: EntryCall,
		caller: LinkedAbort,
		work: () => Promise<Outcome>,
	): Promise<Outcome> => {
		const timer = clock.setTimer(call.deadline - clock.now(), caller.abort);
		const outcome = await work();
		timer.cancel();
		return outcome;
	};

	const handleKey: CallHandler = async (call, {signal}) => {
		const {request} = call;
		const attempts = createAttempts(context, call);
		const outcome = await attemptHandler({
			clock,
			ledger: context.ledger,
			request: {
				service: request.service,
				key: request.key!,
				fingerprint: fingerprintRequest(request),
				...(request.keyExpiry !== undefined && {expiry: request.keyExpiry}),
			},
			deadline: call.deadline,
			signal,
			dispatch: async (attempt) =>
				attempts.send(attempt.ticket, attempt.signal),
			retry: async (refusal) => attempts.retry(refusal, signal),
		});
		attempts.finish();
		reportKey(reporter, request.id, outcome);
		return outcome;
	};

	const pass = async (
		home: Home,
		call: EntryCall,
		caller: LinkedAbort,
	): Promise<Outcome> => {
		reporter.recordDecision({
			name: 'homePassed',
			request: call.request.id,
			reason: 'the key has its home elsewhere',
			details: {home: formatHome(home)},
		});
		return runUntilDeadline(call, caller, async () => {
			const {outcome, isUnsent} = await context.forwardToHome(
				home,
				call.request,
				caller.signal,
			);
			return isUnsent
				? refuseAsUnknown(ErrorCode.HomeUnreachable, homeRetryAfterMs)
				: outcome;
		});
	};

	const recordRefusal = (
		incoming: CallerRequest,
		outcome: Outcome,
		service = incoming.service,
	): CallerOutcome => {
		const request = incoming.id ?? 'none';
		reporter.recordRequestEnd({
			request,
			service,
			requestClass: 'normal',
			outcome,
			duration: 0,
			role: 'entry',
		});
		if (outcome.kind !== 'answered') {
			reporter.recordDecision({
				name: 'entryRefused',
				request,
				reason: outcome.refusal.detail,
			});
		}

		return {request, outcome, home: self};
	};

	return {
		async handle(incoming, signal) {
			return idle.track(async () => handle(incoming, signal));
		},
		refuse: (incoming, code, retryAfter) =>
			recordRefusal(incoming, keys.refuse(incoming, code, retryAfter)),
		async handleAtHome(request, signal) {
			const refusalCode = context.getRefusalCode();
			if (refusalCode !== undefined && !keys.mayHaveRunHere(request)) {
				return refuseAsNotRun(refusalCode, 0);
			}

			if (context.quarantine.blocks(request)) {
				return refuseAsUnknown(ErrorCode.Quarantined);
			}

			const deadline = clock.now() + request.timeLeft;
			const call = {request, operation: readOperation(request), deadline};
			const caller = createLinkedAbort(signal);
			return idle.track(async () => handleKey(call, caller));
		},
		openRequests: idle.count,
		whenIdle: idle.whenIdle,
	};
}
