/**
 * One request's way through the entry: the choice of its targets, what may be
 * sent again, and its one final answer.
 *
 * What must not run twice goes to another target only with proof that the
 * first one never got it. A refusal with a time to come back says "not run",
 * so it is given only while no attempt can have run; otherwise the answer is
 * a failure that promises nothing.
 */
import type {MeshMetrics} from '@egretspoke/observability';
import {isQuarantined, type Suspect} from '@egretspoke/quarantine';
import type {Clock, Random} from '@egretspoke/shared';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import type {DeadlineWheel} from './deadline-wheel.js';
import type {CallGraph} from './decisions/call-graph.js';
import type {InnerRoutes} from './decisions/inner-routes.js';
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {returnTime} from './decisions/return-time.js';
import {
	partOfLeaf,
	partOfTree,
	type RetryBudget,
} from './decisions/retry-budget.js';
import type {Directory, TargetCandidate} from './directory.js';
import {isTargetFailure, type HandedRequest, type Outcome} from './exchange.js';
import type {Gatekeeper} from './gatekeeper.js';
import {createLocalCandidate, localNode} from './local-candidate.js';
import type {MeshReporter} from './mesh-reporter.js';
import {createPassageReport} from './passage-report.js';
import type {RoutePressure} from './route-pressure.js';
import type {TableRoute} from './route-table.js';
import type {Suspects} from './suspects.js';

/** What every passage of a node needs. */
export type PassageOptions = {
	clock: Clock;
	random: Random;
	wheel: DeadlineWheel;
	directory: Directory;
	gatekeeper: Gatekeeper;
	budget: RetryBudget;
	innerRoutes: InnerRoutes;
	graph: CallGraph;
	pressure: RoutePressure;
	/** Requests under which targets crashed. */
	suspects: Pick<Suspects, 'lookUp'>;
	/** A route was asked for that the other nodes don't know to be asked for here. */
	onNewRoute: () => void;
	policy: MeshPolicy;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	isStopping: () => boolean;
};

/** The way that a request takes, and its place among others, 0 for the most urgent. */
export type PassageRoute = {
	route: TableRoute;
	urgency: number;
	/** It is about to go to a target for the first time. */
	onAdmitted: () => void;
};

/** Where a passage ends; one of the two is called, once. */
export type PassageEnd = {
	answer: (final: FinalAnswer) => void;
	/** The caller has gone. */
	onLeft: () => void;
};

/** Refusals on the way after which the request is refused for good: each costs a hop of its time. */
const mostRefusals = 3;
/** The part of a new request's objective that it may wait for a slot; its work and its calls need the rest. */
const patienceOfNewWork = 0.25;
/**
 * The same for calls of work that has begun, since giving those up wastes what
 * was done already, and for new work that makes no calls.
 */
const patienceNearTheEnd = 0.6;
/** Milliseconds below which another attempt has no chance to end in time. */
const leastTimeToRetry = 20;

/** One request's way through the entry. */
export function createPassage(
	options: PassageOptions,
	request: CallerRequest,
	{route, urgency, onAdmitted}: PassageRoute,
	end: PassageEnd,
): () => void {
	const {clock, random, wheel, directory, gatekeeper, budget} = options;
	const {innerRoutes, pressure, reporter, metrics} = options;
	const service = route.rotation.next();
	const until =
		request.arrivedAt +
		Math.min(route.timeout, request.timeLeft ?? Number.POSITIVE_INFINITY);
	const isInner = innerRoutes.isInner(route.name);
	const work = {route: route.name, service, priority: urgency};
	const isNearItsEnd =
		isInner ||
		(options.policy.has('nearEndFirst') &&
			!options.graph.mayCall(route.name, service));
	if (innerRoutes.note(route.name)) {
		options.onNewRoute();
	}

	const report = createPassageReport(options, request, {
		route: route.name,
		service,
		isInner,
	});
	const repeatShareOfCall = isInner ? gatekeeper.noteCall(route.name) : 0;
	const tried = new Set<string>();
	/** Targets that got the request. */
	let arrivals = 0;
	let refusals = 0;
	/** Targets that crashed while they had the request. */
	let crashes = 0;
	/** The share of requests like this one that is refused now. */
	let shed = 0;
	let mayHaveRun = false;
	/** The node whose target answered last. */
	let answeredBy = '';
	/** A target's own failure, for the caller if no other target does better. */
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
		end.answer(final);
	};

	const removeDeadline = wheel.add(until, () => {
		cancelAttempt();
		finish({kind: 'own', status: 504, reason: 'timeout'});
	});

	const objectiveOfReturn = options.policy.has('returnInObjective')
		? route.objective
		: Number.POSITIVE_INFINITY;
	/** Milliseconds until the caller gives up, which may be later than the timeout of the route. */
	const callerTimeLeft = () =>
		request.arrivedAt + (request.timeLeft ?? route.timeout) - clock.now();

	/** The final answer of a request that no target will answer. */
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
						retryAfter: returnTime(
							{
								timeLeft: callerTimeLeft(),
								objective: objectiveOfReturn,
								refused: shed,
							},
							random.fraction(),
						),
					},
		);
	};

	const listCandidates = (): TargetCandidate[] => {
		const candidates = directory.candidates(service, tried);
		if (!tried.has(localNode) && gatekeeper.serves(service)) {
			candidates.push(createLocalCandidate(gatekeeper, options.isStopping()));
		}

		return candidates;
	};

	/** The share of new requests like this one that is refused for the sake of the services that they need. */
	const shareRefused = (): number =>
		options.policy.has('shedNew') ? pressure.shareRefused(work) : 0;

	/** It has run, under this id or another one, so nobody may be told that it has not. */
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
		const target = options.policy.select(
			listCandidates(),
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
		send(target, timeLeft, Math.max(crashes, suspect?.crashes ?? 0));
	};

	const send = (
		target: TargetCandidate,
		timeLeft: number,
		knownCrashes: number,
	) => {
		let isEnded = false;
		const cancel = target.channel.send(
			createHanded(timeLeft, knownCrashes),
			(outcome, load) => {
				isEnded = true;
				target.note(outcome.kind === 'answered' ? 'answered' : 'failed', load);
				if (!isOver) {
					handlers[outcome.kind](outcome as never, target.node);
				}
			},
		);
		if (!isEnded) {
			cancelAttempt = cancel;
		}
	};

	const createHanded = (
		timeLeft: number,
		knownCrashes: number,
	): HandedRequest => ({
		requestId: request.requestId,
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body,
		service,
		isIdempotent: route.isIdempotent,
		isInner,
		isNearItsEnd,
		route: route.name,
		repeatShare: arrivals > 0 ? 1 : repeatShareOfCall,
		crashes: knownCrashes,
		priority: urgency,
		patience: Math.min(
			timeLeft / 2,
			route.objective * (isNearItsEnd ? patienceNearTheEnd : patienceOfNewWork),
		),
		timeLeft,
	});

	const takeFromBudget = (now: number): boolean => {
		const mayCall = options.graph.mayCall(route.name, service);
		const part = mayCall ? partOfTree : partOfLeaf;
		return budget.take(service, now, directory.size(), part);
	};

	/** Whether another target may get it, within the attempts of the route and the shared budget. */
	const takeRetry = (reason: string, node: string): boolean => {
		const now = clock.now();
		const isAllowed =
			options.policy.mayRetry &&
			arrivals < route.attempts &&
			until - now >= leastTimeToRetry &&
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
		if (takeRetry(reason, node)) {
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
			// Most failures come from refused calls while load is shed; repeating the
			// whole tree of calls would only make more of them.
			const isWorthRepeating =
				isTargetFailure(status) &&
				route.isIdempotent &&
				pressure.shareRefused(work) === 0;
			if (isWorthRepeating && takeRetry('targetFailed', node)) {
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
				refusals >= mostRefusals ||
				until - clock.now() < leastTimeToRetry
			) {
				giveUp(reason);
			} else if (reason === 'noRoom' || reason === 'waitedTooLong') {
				// Another target gets it only if it is known to have room: else the refusal would be handed around.
				const hasRoom = listCandidates().some(({occupancy}) => occupancy < 1);
				if (hasRoom) {
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
		pressure.noteRequest(work);
	}

	attempt();
	return () => {
		if (!isOver) {
			isOver = true;
			removeDeadline();
			cancelAttempt();
			report.left();
			end.onLeft();
		}
	};
}
