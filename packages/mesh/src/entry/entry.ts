/**
 * The entry of a node: finds the route and the workspace of each caller's
 * request, enforces quotas and forwards what is admitted.
 */
import {
	retryAfterStop,
	timeLeftAtStop,
	type AcceptanceTimes,
} from '../decisions/admission/stop-admission.js';
import {shortRetryAfter} from '../decisions/repeats/retry-after-time.js';
import type {DecidingVersion} from '../configuration/deciding-version.js';
import type {HeaderNames} from '../configuration/header-names.js';
import type {QuotaExchange} from '../quotas/quota-exchange.js';
import type {RouteTable} from '../configuration/route-table.js';
import {createForwardingContext, forwardRequest} from './request-forwarding.js';
import type {
	EndHandler,
	ForwardingContext,
	ForwardingOptions,
	ForwardingRoute,
} from './forwarding.js';
import type {CallerRequest, FinalAnswer, OwnAnswer} from './caller-request.js';

/** Dependencies of an entry. */
export type EntryOptions = ForwardingOptions & {
	routes: () => RouteTable | undefined;
	/** The configuration that the routes belong to. */
	decidedBy: () => DecidingVersion;
	quotas: Pick<QuotaExchange, 'allows' | 'recordAdmitted' | 'retryAfterTime'>;
	headerNames: Pick<HeaderNames, 'workspace'>;
	/** Until when a stopping node accepts requests; undefined while it isn't stopping. */
	stop: () => AcceptanceTimes | undefined;
};

/** Handles callers' requests. */
export type Entry = {
	/** Answers exactly once, unless the caller disconnects first; returns a function that reports the disconnect. */
	handle(
		request: CallerRequest,
		answer: (final: FinalAnswer) => void,
	): () => void;
	/** Number of requests without a final answer. */
	open(): number;
};

/** Creates an entry. */
export function createEntry(options: EntryOptions): Entry {
	const context = createForwardingContext(options);
	let open = 0;
	return {
		handle(request, answer) {
			open++;
			return handleRequest(options, context, request, (final) => {
				open--;
				if (final) {
					answer(final);
				}
			});
		},
		open: () => open,
	};
}

/** An admitted request. */
type Admission = ForwardingRoute & {kind: 'admitted'};

/** A rejected request: its route and the answer to its caller. */
type Rejection = {kind: 'rejected'; route: string; answer: OwnAnswer};

function handleRequest(
	options: EntryOptions,
	context: ForwardingContext,
	request: CallerRequest,
	onEnd: EndHandler,
): () => void {
	const decidedBy = options.decidedBy();
	const admission = admit(options, request, decidedBy);
	if (admission.kind === 'rejected') {
		reject(options, request, admission, decidedBy);
		onEnd(admission.answer);
		return () => undefined;
	}

	const refusal = refuseAtStop(options, request, admission);
	if (refusal) {
		reject(options, request, refusal, decidedBy);
		onEnd(refusal.answer);
		return () => undefined;
	}

	const {workspace} = admission;
	if (workspace) {
		request.headers.push(options.headerNames.workspace, workspace.name);
	}

	return forwardRequest(context, request, admission, onEnd);
}

function admit(
	{routes: currentRoutes, quotas}: EntryOptions,
	request: CallerRequest,
	decidedBy: DecidingVersion,
): Admission | Rejection {
	const routes = currentRoutes();
	if (!routes) {
		return refuse('', 503, 'noConfiguration', shortRetryAfter);
	}

	const route = routes.findRoute(request.host, pathOf(request.path));
	if (!route) {
		return refuse('', 404, 'noRoute');
	}

	if (!routes.hasWorkspaces || route.isPublic) {
		const urgency = routes.urgencyOf(route, undefined);
		return {kind: 'admitted', route, workspace: undefined, urgency, decidedBy};
	}

	const workspace =
		request.workspaceKey === undefined
			? undefined
			: routes.findWorkspace(request.workspaceKey);
	if (!workspace) {
		return refuse(route.name, 401, 'unknownKey');
	}

	if (!quotas.allows(workspace)) {
		const retryAfter = quotas.retryAfterTime(workspace);
		return refuse(route.name, 429, 'quotaExceeded', retryAfter);
	}

	const urgency = routes.urgencyOf(route, workspace);
	return {kind: 'admitted', route, workspace, urgency, decidedBy};
}

/** Bounds the time of a request that a stopping node accepts; returns the rejection of others. */
function refuseAtStop(
	options: EntryOptions,
	request: CallerRequest,
	admission: Admission,
): Rejection | undefined {
	const stop = options.stop();
	if (!stop) {
		return undefined;
	}

	const {name, timeout} = admission.route;
	const timeLeft = timeLeftAtStop(
		stop,
		{
			isCallOfRunningWork: isCallOfRunningWork(options, admission),
			timeLeft: Math.min(request.timeLeft ?? Number.POSITIVE_INFINITY, timeout),
		},
		options.clock.now(),
	);
	if (timeLeft === undefined) {
		const retryAfter = retryAfterStop(
			request.timeLeft,
			options.random.fraction(),
		);
		return refuse(name, 503, 'nodeStopping', retryAfter);
	}

	request.timeLeft = timeLeft;
	return undefined;
}

function isCallOfRunningWork(
	{innerRoutes, dispatcher}: EntryOptions,
	{route}: Admission,
): boolean {
	return innerRoutes.isInner(route.name) && dispatcher.openRequests() > 0;
}

function refuse(
	route: string,
	status: OwnAnswer['status'],
	reason: string,
	retryAfter?: number,
): Rejection {
	return {
		kind: 'rejected',
		route,
		answer: {
			kind: 'own',
			status,
			reason,
			...(retryAfter !== undefined && {retryAfter}),
		},
	};
}

function reject(
	{clock, metrics, reporter}: EntryOptions,
	{requestId, arrivedAt}: CallerRequest,
	{route, answer: {status, reason}}: Rejection,
	decidedBy: DecidingVersion,
): void {
	metrics.requestEnded({
		route,
		outcome: 'refused',
		reason,
		duration: clock.now() - arrivedAt,
	});
	reporter.decision('meshRejected', requestId, reason, {
		status,
		route,
		...decidedBy,
	});
}

function pathOf(path: string): string {
	const query = path.indexOf('?');
	return query === -1 ? path : path.slice(0, query);
}
