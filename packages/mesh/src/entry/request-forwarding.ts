/**
 * Forwards one request from the entry node: selects targets, retries, and
 * returns exactly one final answer.
 *
 * A request that isn't idempotent is sent to another target only with proof
 * that the first one did not run it.
 */
import {isQuarantined, type Suspect} from '@egretspoke/quarantine';
import {
	discardOutcome,
	isTargetFailure,
	type ForwardedRequest,
	type Outcome,
	type TargetLoad,
} from '../links/exchange.js';
import type {TargetCandidate} from '../members/directory.js';
import {hasRoom, listCandidates} from './attempt-candidates.js';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {
	Forwarding,
	type EndHandler,
	type ForwardingContext,
	type ForwardingFacts,
	type ForwardingOptions,
	type ForwardingRoute,
} from './forwarding.js';
import {reportAnswer, reportOutdatedRoute} from './forwarding-report.js';
import {LocalCandidate} from './local-candidate.js';
import {createRefusal, giveUp, quarantineRequest} from './own-answers.js';
import {
	isRoomRefusal,
	mayBeRefusedAgain,
	mayTryAnother,
	tryTakeRetry,
} from './retry-decisions.js';
import type {NewWork} from './route-pressure.js';

/** Maximum wait of a new request for a slot, as a ratio of its objective; its work and its calls need the rest. */
const maxWaitRatioOfNewWork = 0.25;
/**
 * The same ratio for calls of running work, because rejecting those wastes the
 * work already done, and for new work that makes no calls.
 */
const maxWaitRatioNearCompletion = 0.6;

const nothing = () => undefined;

/** Creates the state that all forwarded requests of a node share. */
export function createForwardingContext(
	options: ForwardingOptions,
): ForwardingContext {
	return {...options, local: new LocalCandidate(options.dispatcher)};
}

/**
 * Forwards a request to a target of its route. A request that is quarantined or
 * shed is answered before its record is created: on the heaviest days a third
 * of the requests is shed.
 *
 * @returns A function that reports that the caller disconnected.
 */
export function forwardRequest(
	context: ForwardingContext,
	request: CallerRequest,
	admission: ForwardingRoute,
	onEnd: EndHandler,
): () => void {
	const {route, urgency, workspace, decidedBy} = admission;
	const work: NewWork = {
		route: route.name,
		service: route.rotation.next(),
		priority: urgency,
		workspace: workspace?.name,
	};
	const isInner = context.innerRoutes.isInner(route.name);
	recordArrival(context, work, isInner);
	reportOutdatedRoute(context, {request, work, decidedBy});
	const suspect = context.suspects.lookUp(request);
	const facts: ForwardingFacts = {
		request,
		admission,
		work,
		isInner,
		repeatShare: isInner ? context.dispatcher.recordCall(route.name) : 0,
		shed: 0,
	};
	if (suspect && isQuarantined(suspect)) {
		const final = quarantineRequest(context, request, suspect);
		answerUnsent(context, facts, final, onEnd);
		return nothing;
	}

	if (!isInner) {
		const shed = shareShed(context, work);
		facts.shed = shed;
		if (context.random.fraction() < shed) {
			const refused = {request, route, shed, reason: 'shed'};
			const final = createRefusal(context, refused);
			answerUnsent(context, facts, final, onEnd);
			return nothing;
		}
	}

	const forwarding = new Forwarding(context, facts, onEnd);
	context.wheel.add(forwarding.until, forwarding);
	attempt(forwarding, suspect);
	return () => {
		forwarding.leave();
	};
}

/** Counts the request for the decisions about later ones. */
function recordArrival(
	context: ForwardingContext,
	work: NewWork,
	isInner: boolean,
): void {
	if (context.innerRoutes.record(work.route)) {
		context.onNewRoute();
	}

	context.budget.countRequest(work.service, context.clock.now());
	if (!isInner) {
		context.pressure.recordRequest(work);
	}
}

/** The share of new requests of this kind that is shed to protect the services they need. */
function shareShed(
	{policy, pressure}: ForwardingContext,
	work: NewWork,
): number {
	return policy.has('shedNew') ? pressure.shareRefused(work) : 0;
}

/** Answers a request that is not sent to any target. */
function answerUnsent(
	context: ForwardingContext,
	{request, admission, work, isInner, shed}: ForwardingFacts,
	final: FinalAnswer,
	onEnd: EndHandler,
): void {
	const ended = {
		request,
		work,
		decidedBy: admission.decidedBy,
		isInner,
		arrivals: 0,
		refusals: 0,
		answeredBy: '',
		shed,
	};
	reportAnswer(context, ended, final);
	onEnd(final);
}

/** Sends the request to a target that was not tried. */
function attempt(forwarding: Forwarding, suspect: Suspect | undefined): void {
	const {context, request, workspace, tried} = forwarding;
	const timeLeft = forwarding.timeLeft();
	const candidates = listCandidates(forwarding);
	const target = context.policy.select(
		candidates,
		context.random,
		request.body?.byteLength ?? 0,
	);
	if (!target) {
		const isFirst = forwarding.arrivals + forwarding.refusals === 0;
		giveUp(forwarding, isFirst ? 'noTarget' : 'noOtherTarget');
		return;
	}

	if (workspace && tried.length === 0) {
		context.quotas.recordAdmitted(workspace);
	}

	tried.push(target.node);
	// The first attempt waits for the rate of a target only if no other target has room.
	forwarding.mayWait =
		!target.isRateLimited ||
		forwarding.refusals > 0 ||
		!candidates.some((candidate) => candidate !== target && hasRoom(candidate));
	const crashes = Math.max(forwarding.crashes, suspect?.crashes ?? 0);
	send(
		forwarding,
		target,
		createForwardedRequest(forwarding, timeLeft, crashes),
	);
}

/** Sends the request to another target, unless it was quarantined in the meantime. */
function attemptAgain(forwarding: Forwarding): void {
	const {context, request} = forwarding;
	const suspect = context.suspects.lookUp(request);
	if (suspect && isQuarantined(suspect)) {
		forwarding.finish(quarantineRequest(context, request, suspect));
	} else {
		attempt(forwarding, suspect);
	}
}

function send(
	forwarding: Forwarding,
	target: TargetCandidate,
	forwarded: ForwardedRequest,
): void {
	let isEnded = false;
	const cancel = target.channel.send(forwarded, (outcome, load) => {
		isEnded = true;
		receiveOutcome(forwarding, target, outcome, load);
	});
	if (!isEnded) {
		forwarding.cancelAttempt = cancel;
	}
}

function receiveOutcome(
	forwarding: Forwarding,
	target: TargetCandidate,
	outcome: Outcome,
	load: TargetLoad | undefined,
): void {
	target.recordOutcome(
		outcome.kind === 'answered' ? 'answered' : 'failed',
		load,
	);
	if (forwarding.isOver) {
		discardOutcome(outcome);
	} else {
		outcomeHandlers[outcome.kind](forwarding, outcome as never, target.node);
	}
}

function createForwardedRequest(
	forwarding: Forwarding,
	timeLeft: number,
	crashes: number,
): ForwardedRequest {
	const {request, route, work} = forwarding;
	return {
		requestId: request.requestId,
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body,
		bodyHold: request.bodyHold,
		service: work.service,
		isIdempotent: route.isIdempotent,
		isInner: forwarding.isInner,
		isNearCompletion: forwarding.isNearCompletion,
		route: route.name,
		repeatShare: forwarding.arrivals > 0 ? 1 : forwarding.repeatShare,
		crashes,
		priority: work.priority,
		maxWait: forwarding.mayWait ? maxWaitOf(forwarding, timeLeft) : 0,
		timeLeft,
	};
}

function maxWaitOf(
	{route, isNearCompletion}: Forwarding,
	timeLeft: number,
): number {
	const ratio = isNearCompletion
		? maxWaitRatioNearCompletion
		: maxWaitRatioOfNewWork;
	return Math.min(timeLeft / 2, route.objective * ratio);
}

/** Sends a request again that reached a target and was not answered, or gives up. */
function retryOrGiveUp(
	forwarding: Forwarding,
	reason: string,
	node: string,
): void {
	if (tryTakeRetry(forwarding, reason, node)) {
		attemptAgain(forwarding);
	} else {
		giveUp(forwarding, reason);
	}
}

/** What follows from each kind of outcome of an attempt at the target of `node`. */
const outcomeHandlers: {
	[Kind in Outcome['kind']]: (
		forwarding: Forwarding,
		outcome: Extract<Outcome, {kind: Kind}>,
		node: string,
	) => void;
} = {
	answered(forwarding, {status, headers, body, stream}, node) {
		const {route, context, work} = forwarding;
		forwarding.arrivals++;
		forwarding.answeredBy = node;
		const answer: FinalAnswer = {
			kind: 'target',
			status,
			headers,
			body,
			stream,
		};
		// While load is shed, most failures come from refused calls; repeating the
		// whole call tree would only cause more of them.
		const shouldRetry =
			isTargetFailure(status) &&
			// Whoever keeps the failure for the end would have to hold the body.
			stream === undefined &&
			route.isIdempotent &&
			!context.pressure.isShedding(work);
		if (shouldRetry && tryTakeRetry(forwarding, 'targetFailed', node)) {
			forwarding.failure = answer;
			attemptAgain(forwarding);
		} else {
			forwarding.finish(answer);
		}
	},
	refused(forwarding, {reason}, node) {
		const {context, request} = forwarding;
		forwarding.refusals++;
		if (reason === 'quarantined') {
			const suspect = context.suspects.lookUp(request);
			forwarding.finish(quarantineRequest(context, request, suspect));
		} else if (!mayBeRefusedAgain(forwarding)) {
			giveUp(forwarding, reason);
		} else if (isRoomRefusal(reason)) {
			forwarding.wasRateLimited ||= reason === 'rateLimited';
			if (mayTryAnother(forwarding)) {
				attemptAgain(forwarding);
			} else {
				giveUp(forwarding, reason);
			}
		} else {
			context.reporter.decision('meshTurnedAway', request.requestId, reason, {
				from: node,
				...forwarding.decidedBy,
			});
			attemptAgain(forwarding);
		}
	},
	declined(forwarding, {status}, node) {
		forwarding.arrivals++;
		retryOrGiveUp(forwarding, `declined${status}`, node);
	},
	lost(forwarding, {reason}, node) {
		forwarding.arrivals++;
		forwarding.mayHaveRun = true;
		forwarding.crashes += reason === 'targetCrashed' ? 1 : 0;
		if (forwarding.route.isIdempotent) {
			retryOrGiveUp(forwarding, reason, node);
		} else {
			giveUp(forwarding, reason);
		}
	},
};
