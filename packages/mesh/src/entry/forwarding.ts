/** The record of one forwarded request, from its admission to its final answer. */
import type {MeshMetrics} from '@egretspoke/observability';
import type {Clock, Random} from '@egretspoke/shared';
import type {CallGraph} from '../decisions/admission/call-graph.js';
import type {InnerRoutes} from '../decisions/admission/inner-routes.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import type {RetryBudget} from '../decisions/repeats/retry-budget.js';
import type {DecidingVersion} from '../configuration/deciding-version.js';
import type {TableRoute} from '../configuration/route-table.js';
import type {CancelAttempt} from '../links/exchange.js';
import type {Directory} from '../members/directory.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {QuotaExchange} from '../quotas/quota-exchange.js';
import type {Workspace} from '../quotas/workspace.js';
import type {Suspects} from '../suspects/suspects.js';
import type {TargetDispatcher} from '../target/target-dispatcher.js';
import {Deadline, type DeadlineWheel} from '../timing/deadline-wheel.js';
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {reportAnswer, reportLeft} from './forwarding-report.js';
import type {LocalCandidate} from './local-candidate.js';
import type {NewWork, RoutePressure} from './route-pressure.js';

/** Dependencies shared by all forwarded requests of a node. */
export type ForwardingOptions = {
	clock: Clock;
	random: Random;
	wheel: DeadlineWheel;
	directory: Pick<Directory, 'candidates' | 'size'>;
	dispatcher: TargetDispatcher;
	budget: RetryBudget;
	innerRoutes: InnerRoutes;
	graph: CallGraph;
	pressure: RoutePressure;
	quotas: Pick<QuotaExchange, 'recordAdmitted'>;
	/** Registry of requests during which targets crashed. */
	suspects: Pick<Suspects, 'lookUp'>;
	/** Called on a request to a route that the other nodes don't yet have as requested at this node. */
	onNewRoute: () => void;
	policy: MeshPolicy;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	isStopping: () => boolean;
};

/** The dependencies, with the state that all requests share. */
export type ForwardingContext = ForwardingOptions & {local: LocalCandidate};

/** The route of a request, its workspace and its urgency, 0 for the most urgent. */
export type ForwardingRoute = {
	route: TableRoute;
	/** Undefined without workspaces and for public routes. */
	workspace: Workspace | undefined;
	urgency: number;
	/** The configuration that the route belongs to. */
	decidedBy: DecidingVersion;
};

/** Called once when a request has ended; without an answer if the caller disconnected. */
export type EndHandler = (final: FinalAnswer | undefined) => void;

/** What is known of a request on its arrival. */
export type ForwardingFacts = {
	request: CallerRequest;
	admission: ForwardingRoute;
	work: NewWork;
	/** It is a call of a running request. */
	isInner: boolean;
	/** For a call, the share of the work of the calling target that is a repeat; 0 otherwise. */
	repeatShare: number;
	/** The share of requests of this kind, from 0 to 1, that was shed on its arrival. */
	shed: number;
};

const nothing = () => undefined;

/** A forwarded request; as a deadline, it is the time at which its caller is answered in any case. */
export class Forwarding extends Deadline {
	readonly request: CallerRequest;
	readonly route: TableRoute;
	readonly workspace: Workspace | undefined;
	readonly decidedBy: DecidingVersion;
	readonly work: NewWork;
	readonly isInner: boolean;
	readonly shed: number;
	/** Deadline of the final answer, on the clock. */
	readonly until: number;
	/** The call graph of its route ends at its service: no other is needed after its run. */
	readonly isNearCompletion: boolean;
	readonly repeatShare: number;
	/** The nodes of the targets that it was sent to. */
	readonly tried: string[] = [];
	/** Attempts that reached a target. */
	arrivals = 0;
	/** Attempts that the target's node refused. */
	refusals = 0;
	/** Targets that crashed while they ran the request. */
	crashes = 0;
	mayHaveRun = false;
	/** A target refused it because of its rate limit, so that the others are tried first. */
	wasRateLimited = false;
	/** Whether the request may wait at the current target. */
	mayWait = true;
	/** The node of the last target that answered. */
	answeredBy = '';
	/** A target's failure answer, returned if no retry succeeds. */
	failure: FinalAnswer | undefined = undefined;
	isOver = false;
	cancelAttempt: CancelAttempt = nothing;

	constructor(
		readonly context: ForwardingContext,
		facts: ForwardingFacts,
		private readonly onEnd: EndHandler,
	) {
		super();
		const {request, work} = facts;
		const {route, workspace, decidedBy} = facts.admission;
		const {policy, graph} = context;
		this.request = request;
		this.route = route;
		this.workspace = workspace;
		this.decidedBy = decidedBy;
		this.work = work;
		this.isInner = facts.isInner;
		this.repeatShare = facts.repeatShare;
		this.shed = facts.shed;
		this.until =
			request.arrivedAt +
			Math.min(route.timeout, request.timeLeft ?? Number.POSITIVE_INFINITY);
		this.isNearCompletion =
			facts.isInner ||
			(policy.has('nearEndFirst') && !graph.mayCall(work.route, work.service));
	}

	/** Milliseconds until the deadline. */
	timeLeft(): number {
		return this.until - this.context.clock.now();
	}

	/** Answers the request, unless it has ended. */
	finish(final: FinalAnswer): void {
		if (!this.isOver) {
			this.end();
			reportAnswer(this.context, this, final);
			this.onEnd(final);
		}
	}

	/** Ends the request without an answer, because its caller disconnected. */
	leave(): void {
		if (!this.isOver) {
			this.end();
			this.cancelAttempt();
			reportLeft(this.context, this);
			this.onEnd(undefined);
		}
	}

	onDeadline(): void {
		this.cancelAttempt();
		this.finish({kind: 'own', status: 504, reason: 'timeout'});
	}

	private end(): void {
		this.isOver = true;
		this.context.wheel.remove(this);
	}
}
