/**
 * Forwards one request from the entry node: selects targets, retries, and
 * returns exactly one final answer.
 *
 * A request that isn't idempotent is sent to another target only with proof
 * that the first one did not run it. A 503 with Retry-After certifies "not
 * run", so it is returned only while no attempt can have run; otherwise the
 * answer is a 502, which leaves the outcome open.
 */
import type {MeshMetrics} from '@egretspoke/observability';
import {isQuarantined, type Suspect} from '@egretspoke/quarantine';
import type {Clock, Random} from '@egretspoke/shared';
import type {DeadlineWheel} from '../timing/deadline-wheel.js';
import type {CallGraph} from '../decisions/admission/call-graph.js';
import type {InnerRoutes} from '../decisions/admission/inner-routes.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {retryAfterTime} from '../decisions/repeats/retry-after-time.js';
import {
	leafRetryShare,
	nonLeafRetryShare,
	type RetryBudget,
} from '../decisions/repeats/retry-budget.js';
import type {Directory, TargetCandidate} from '../members/directory.js';
import {
	isTargetFailure,
	type ForwardedRequest,
	type Outcome,
	type RefusalReason,
} from '../links/exchange.js';
import type {TargetDispatcher} from '../target/target-dispatcher.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {TableRoute} from '../configuration/route-table.js';
import type {Suspects} from '../suspects/suspects.js';
import type {NewWork, RoutePressure} from './route-pressure.js';
import {createForwardingReport} from './forwarding-report.js';
import {createLocalCandidate, localNode} from './local-candidate.js';
import type {CallerRequest, FinalAnswer} from './caller-request.js';

/** Dependencies shared by all forwarded requests of a node. */
export type ForwardingOptions = {
	clock: Clock;
	random: Random;
	wheel: DeadlineWheel;
	directory: Directory;
	dispatcher: TargetDispatcher;
	budget: RetryBudget;
	innerRoutes: InnerRoutes;
	graph: CallGraph;
	pressure: RoutePressure;
	/** Registry of requests during which targets crashed. */
	suspects: Pick<Suspects, 'lookUp'>;
	/** Called on a request to a route that the other nodes don't yet have as requested at this node. */
	onNewRoute: () => void;
	policy: MeshPolicy;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	isStopping: () => boolean;
};

/** The route of a request and its urgency, 0 for the most urgent. */
export type ForwardingRoute = {
	route: TableRoute;
	urgency: number;
	/** The name of the workspace that sent the request; undefined without workspaces and for public routes. */
	workspace: string | undefined;
	/** Called before the first attempt. */
	onAdmitted: () => void;
};

/** Callbacks for the end of a forwarded request; exactly one of them is called, once. */
export type ForwardingCallbacks = {
	answer: (final: FinalAnswer) => void;
	/** The caller disconnected. */
	onLeft: () => void;
};

/** Maximum refusals of one request before it is rejected: each costs a hop of its remaining time. */
const maxRefusals = 3;
/** Maximum wait of a new request for a slot, as a ratio of its objective; its work and its calls need the rest. */
const maxWaitRatioOfNewWork = 0.25;
/**
 * The same ratio for calls of running work, because rejecting those wastes the
 * work already done, and for new work that makes no calls.
 */
const maxWaitRatioNearCompletion = 0.6;
/** Minimum time left for another attempt, in milliseconds; with less it can't complete in time. */
const minTimeToRetry = 20;

/** Whether a target refused a request because it was full; others may have room. */
function isRoomRefusal(reason: RefusalReason): boolean {
	return (
		reason === 'noRoom' ||
		reason === 'rateLimited' ||
		reason === 'waitedTooLong'
	);
}

function hasRoom({occupancy}: TargetCandidate): boolean {
	return occupancy < 1;
}

/** Returns the targets without a rate limit; all if each has one. */
function preferUnlimited(candidates: TargetCandidate[]): TargetCandidate[] {
	const unlimited = candidates.filter(({isRateLimited}) => !isRateLimited);
	return unlimited.length > 0 ? unlimited : candidates;
}

/**
 * Forwards a request to a target of its route.
 *
 * @returns A function that reports that the caller disconnected.
 */
export function forwardRequest(
	options: ForwardingOptions,
	request: CallerRequest,
	{route, urgency, workspace, onAdmitted}: ForwardingRoute,
	callbacks: ForwardingCallbacks,
): () => void {
	const {clock, random, wheel, directory, dispatcher, budget} = options;
	const {innerRoutes, pressure, reporter, metrics} = options;
	const service = route.rotation.next();
	const until =
		request.arrivedAt +
		Math.min(route.timeout, request.timeLeft ?? Number.POSITIVE_INFINITY);
	const isInner = innerRoutes.isInner(route.name);
	const work: NewWork = {
		route: route.name,
		service,
		priority: urgency,
		workspace,
	};
	const isNearCompletion =
		isInner ||
		(options.policy.has('nearEndFirst') &&
			!options.graph.mayCall(route.name, service));
	if (innerRoutes.record(route.name)) {
		options.onNewRoute();
	}

	const report = createForwardingReport(options, request, {
		route: route.name,
		service,
		isInner,
	});
	const repeatShareOfCall = isInner ? dispatcher.recordCall(route.name) : 0;
	const tried = new Set<string>();
	/** Attempts that reached a target. */
	let arrivals = 0;
	let refusals = 0;
	/** Targets that crashed while they ran the request. */
	let crashes = 0;
	/** The share of requests of this kind that is currently shed. */
	let shed = 0;
	let mayHaveRun = false;
	/** A target refused it because of its rate limit, so that the others are tried first. */
	let wasRateLimited = false;
	/** Whether the request may wait at the current target. */
	let mayWait = true;
	/** The node of the last target that answered. */
	let answeredBy = '';
	/** A target's failure answer, returned if no retry succeeds. */
	let failure: FinalAnswer | undefined;
	let isOver = false;
	let cancelAttempt: () => void = () => undefined;

	const finish = (final: FinalAnswer) => {
		if (isOver) {
			return;
		}

		isOver = true;
		removeDeadline();
		report.answered(final, {arrivals, refusals, answeredBy, shed});
		callbacks.answer(final);
	};

	const removeDeadline = wheel.add(until, () => {
		cancelAttempt();
		finish({kind: 'own', status: 504, reason: 'timeout'});
	});

	const retryAfterObjective = options.policy.has('returnInObjective')
		? route.objective
		: Number.POSITIVE_INFINITY;
	/** Milliseconds until the caller's own timeout, which may be later than the timeout of the route. */
	const callerTimeLeft = () =>
		request.arrivedAt + (request.timeLeft ?? route.timeout) - clock.now();

	/** Answers the request without further attempts. */
	const giveUp = (reason: string) => {
		if (failure) {
			finish(failure);
			return;
		}

		finish(
			mayHaveRun
				? {kind: 'own', status: 502, reason}
				: {
						kind: 'own',
						status: 503,
						reason,
						retryAfter: retryAfterTime(
							{
								timeLeft: callerTimeLeft(),
								objective: retryAfterObjective,
								refused: shed,
							},
							random.fraction(),
						),
					},
		);
	};

	const listCandidates = (): TargetCandidate[] => {
		const candidates = directory.candidates(service, tried);
		if (!tried.has(localNode) && dispatcher.serves(service)) {
			candidates.push(createLocalCandidate(dispatcher, options.isStopping()));
		}

		return wasRateLimited ? preferUnlimited(candidates) : candidates;
	};

	/**
	 * Only if another target is known to have room; otherwise the request would be
	 * refused by one target after the other. After a refusal because of a rate
	 * limit, a target without one is tried in any case: it may have a short queue.
	 */
	const mayTryAnother = (): boolean =>
		!mayWait ||
		listCandidates().some(
			(candidate) =>
				hasRoom(candidate) || (wasRateLimited && !candidate.isRateLimited),
		);

	/** The share of new requests of this kind that is shed to protect the services they need. */
	const shareRefused = (): number =>
		options.policy.has('shedNew') ? pressure.shareRefused(work) : 0;

	/** A quarantined request has run before, under this id or another one, so its answer must not certify "not run". */
	const refuseQuarantined = (suspect?: Suspect) => {
		metrics.requestQuarantined();
		reporter.decision('quarantined', request.requestId, 'quarantined', {
			...(suspect && {identity: suspect.identity, crashes: suspect.crashes}),
		});
		finish({kind: 'own', status: 502, reason: 'quarantined'});
	};

	const attempt = () => {
		const suspect = options.suspects.lookUp(request);
		if (suspect && isQuarantined(suspect)) {
			refuseQuarantined(suspect);
			return;
		}

		const isNew = !isInner && arrivals === 0 && refusals === 0;
		if (isNew) {
			shed = shareRefused();
			if (random.fraction() < shed) {
				giveUp('shed');
				return;
			}
		}

		const timeLeft = until - clock.now();
		const candidates = listCandidates();
		const target = options.policy.select(
			candidates,
			random,
			request.body?.byteLength ?? 0,
		);
		if (!target) {
			giveUp(arrivals + refusals === 0 ? 'noTarget' : 'noOtherTarget');
			return;
		}

		if (tried.size === 0) {
			onAdmitted();
		}

		tried.add(target.node);
		// The first attempt waits for the rate of a target only if no other target has room.
		mayWait =
			!target.isRateLimited ||
			refusals > 0 ||
			!candidates.some(
				(candidate) => candidate !== target && hasRoom(candidate),
			);
		send(target, timeLeft, Math.max(crashes, suspect?.crashes ?? 0));
	};

	const send = (
		target: TargetCandidate,
		timeLeft: number,
		knownCrashes: number,
	) => {
		let isEnded = false;
		const cancel = target.channel.send(
			createForwardedRequest(timeLeft, knownCrashes),
			(outcome, load) => {
				isEnded = true;
				target.recordOutcome(
					outcome.kind === 'answered' ? 'answered' : 'failed',
					load,
				);
				if (!isOver) {
					handlers[outcome.kind](outcome as never, target.node);
				}
			},
		);
		if (!isEnded) {
			cancelAttempt = cancel;
		}
	};

	const maxWaitOf = (timeLeft: number) =>
		Math.min(
			timeLeft / 2,
			route.objective *
				(isNearCompletion ? maxWaitRatioNearCompletion : maxWaitRatioOfNewWork),
		);

	const createForwardedRequest = (
		timeLeft: number,
		knownCrashes: number,
	): ForwardedRequest => ({
		requestId: request.requestId,
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body,
		service,
		isIdempotent: route.isIdempotent,
		isInner,
		isNearCompletion,
		route: route.name,
		repeatShare: arrivals > 0 ? 1 : repeatShareOfCall,
		crashes: knownCrashes,
		priority: urgency,
		maxWait: mayWait ? maxWaitOf(timeLeft) : 0,
		timeLeft,
	});

	const takeFromBudget = (now: number): boolean => {
		const mayCall = options.graph.mayCall(route.name, service);
		const part = mayCall ? nonLeafRetryShare : leafRetryShare;
		return budget.take(service, now, directory.size(), part);
	};

	/** Takes a retry, if the attempts of the route and the shared budget allow one. */
	const tryTakeRetry = (reason: string, node: string): boolean => {
		const now = clock.now();
		const isAllowed =
			options.policy.mayRetry &&
			arrivals < route.attempts &&
			until - now >= minTimeToRetry &&
			takeFromBudget(now);
		if (isAllowed) {
			metrics.retried(service);
			reporter.decision('meshSentAgain', request.requestId, reason, {
				from: node,
				arrivals,
			});
		}

		return isAllowed;
	};

	const sendAgain = (reason: string, node: string) => {
		if (tryTakeRetry(reason, node)) {
			attempt();
		} else {
			giveUp(reason);
		}
	};

	const handlers: {
		[Kind in Outcome['kind']]: (
			outcome: Extract<Outcome, {kind: Kind}>,
			node: string,
		) => void;
	} = {
		answered({status, headers, body}, node) {
			arrivals++;
			answeredBy = node;
			const answer: FinalAnswer = {kind: 'target', status, headers, body};
			// While load is shed, most failures come from refused calls; repeating the
			// whole call tree would only cause more of them.
			const shouldRetry =
				isTargetFailure(status) &&
				route.isIdempotent &&
				!pressure.isShedding(work);
			if (shouldRetry && tryTakeRetry('targetFailed', node)) {
				failure = answer;
				attempt();
			} else {
				finish(answer);
			}
		},
		refused({reason}, node) {
			refusals++;
			if (reason === 'quarantined') {
				refuseQuarantined(options.suspects.lookUp(request));
			} else if (
				refusals >= maxRefusals ||
				until - clock.now() < minTimeToRetry
			) {
				giveUp(reason);
			} else if (isRoomRefusal(reason)) {
				wasRateLimited ||= reason === 'rateLimited';
				if (mayTryAnother()) {
					attempt();
				} else {
					giveUp(reason);
				}
			} else {
				reporter.decision('meshTurnedAway', request.requestId, reason, {
					from: node,
				});
				attempt();
			}
		},
		declined({status}, node) {
			arrivals++;
			sendAgain(`declined${status}`, node);
		},
		lost({reason}, node) {
			arrivals++;
			mayHaveRun = true;
			crashes += reason === 'targetCrashed' ? 1 : 0;
			if (route.isIdempotent) {
				sendAgain(reason, node);
			} else {
				giveUp(reason);
			}
		},
	};

	budget.countRequest(service, clock.now());
	if (!isInner) {
		pressure.recordRequest(work);
	}

	attempt();
	return () => {
		if (!isOver) {
			isOver = true;
			removeDeadline();
			cancelAttempt();
			report.left();
			callbacks.onLeft();
		}
	};
}
