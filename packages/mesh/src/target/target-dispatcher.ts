/**
 * Dispatches requests to the local target; all of them pass through its node.
 *
 * The target's guarantees are enforced here from local state alone: its
 * concurrency, the order of requests, that it receives no new requests after
 * its leaving was acknowledged, and that a refused request has not run. An
 * entry node with a stale view of the fleet costs an extra hop, but breaks no
 * guarantee.
 */
import type {MeshMetrics, MeshReadings} from '@egretspoke/observability';
import {
	createCrashWatch,
	createIsolation,
	isIsolated,
	isQuarantined,
	type CrashWatch,
} from '@egretspoke/quarantine';
import {probeListening, type Clock, type Timer} from '@egretspoke/shared';
import type {DeadlineWheel} from '../timing/deadline-wheel.js';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import type {CallProfile} from '../decisions/admission/call-profile.js';
import {createFailureShare} from '../decisions/routing/failure-share.js';
import {
	createTargetAdmission,
	type TargetAdmission,
} from '../decisions/admission/target-admission.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import type {RetryBudgetOptions} from '../decisions/repeats/retry-budget.js';
import {createRunTime} from '../decisions/routing/run-time.js';
import {shedPeriod} from '../decisions/admission/shed-level.js';
import type {LinkedTarget} from '../links/peer.js';
import {
	discardOutcome,
	isConnectionLoss,
	isTargetFailure,
	type ForwardedRequest,
	type Outcome,
	type RefusalReason,
	type TargetChannel,
	type TargetLoad,
} from '../links/exchange.js';
import type {HeaderNames} from '../configuration/header-names.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {Suspects} from '../suspects/suspects.js';
import {createRepeatedOffers} from './repeated-offers.js';
import {reportCrash} from './crash-report.js';
import {PendingRequest} from './pending-request.js';
import type {createTargetClient} from './target-client.js';
import {createTargetAccess} from './target-access.js';
import {createTargetShedLevel} from './target-shed-level.js';
import {createTargetRate} from './target-rate.js';
import {
	isSameIncarnation,
	type Incarnation,
	type TargetRecord,
} from './target-record.js';
import {
	TargetRun,
	responseMargin,
	type TargetRunContext,
} from './target-run.js';

/** Dependencies of a dispatcher. */
export type TargetDispatcherOptions = {
	clock: Clock;
	wheel: DeadlineWheel;
	headerNames: HeaderNames;
	budget: MemoryBudget;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	policy: MeshPolicy;
	/** Estimates the calls and run times of the target's routes. */
	profile: CallProfile;
	/** Limit on repeated offers to a service, over all nodes. */
	retryBudget: RetryBudgetOptions;
	/** Registry of requests during which targets crashed. */
	suspects: Pick<Suspects, 'lookUp' | 'recordCrash' | 'recordAnswer'>;
	/** Defaults to the HTTP client. */
	createClient?: typeof createTargetClient;
	/** Called when the target states in an answer that it is leaving. */
	onLeaving: () => void;
	/** Called with false when the target is unreachable or was replaced, with true once it answers again. */
	onReachable: (isReachable: boolean) => void;
};

/** Dispatches requests to the local target. */
export type TargetDispatcher = TargetChannel & {
	/** Applies the current record of the target. */
	setTarget(record: TargetRecord | undefined): void;
	/** Whether requests for the service are currently accepted for admission. */
	serves(service: string): boolean;
	/** Refuses all waiting and new requests, because the node is stopping. */
	stop(): void;
	/** Applies a rate limit that another node knows from earlier answers of this incarnation. */
	adoptRateLimit(incarnation: Incarnation, perSecond: number): void;
	/** Records a call of the target to the route; returns the share of it, from 0 to 1, that is a repeat. */
	recordCall(route: string): number;
	load(): TargetLoad;
	/** The local target as the entry nodes see it; empty while none is known. */
	target(): Array<Omit<LinkedTarget, 'node'>>;
	/** Closes the connections to the target. */
	close(): void;
	/** Number of running and waiting requests. */
	openRequests(): number;
	readings(): Pick<
		MeshReadings,
		'inFlight' | 'waiting' | 'limit' | 'rateLimit' | 'shedLevel' | 'declined'
	>;
};

/** Maximum offers of one request after the first: with 0.55 of all offers declined, one in 700 needs more; with 6, one in nine requests that make eight calls failed. */
export const maxRepeats = 10;
/** Minimum time left for another offer, in milliseconds; with less it can't complete in time. */
const minTimeToRepeat = 20;

/** Creates a dispatcher without a target. */
export function createTargetDispatcher(
	options: TargetDispatcherOptions,
): TargetDispatcher {
	const {clock, wheel, metrics, suspects} = options;
	const isolation = createIsolation<PendingRequest>();
	const targetShedLevel = createTargetShedLevel(options.policy);
	const rate = createTargetRate(options);
	const access = createTargetAccess({
		...options,
		onNotice(notice, ordinal) {
			rate.apply(notice, ordinal);
			if (notice.isLeaving) {
				options.onLeaving();
			}

			startNext();
		},
		onConnectionRefused() {
			watch.refused();
		},
	});
	const failures = createFailureShare();
	const runTime = createRunTime();
	const offers = createRepeatedOffers({
		policy: options.policy,
		profile: options.profile,
		budget: options.retryBudget,
	});
	const {profile} = options;
	let admission: TargetAdmission<PendingRequest> =
		createTargetAdmission<PendingRequest>(1);
	let target: TargetRecord | undefined;
	let isStopping = false;
	let ticker: Timer | undefined;

	const createTargetWatch = (): CrashWatch<PendingRequest> =>
		createCrashWatch<PendingRequest>({
			clock,
			isLeaving: () => target?.isLeaving ?? true,
			onCrash(crashedRuns, lost) {
				for (const pending of isolation.removeWhere(() => true)) {
					refuse(pending, 'targetUnreachable');
				}

				const {recordCrash} = suspects;
				reportCrash({...options, recordCrash}, crashedRuns, lost);
			},
			probe(onResult) {
				if (target) {
					probeListening(target.address, onResult);
				} else {
					onResult(true);
				}
			},
		});
	let watch = createTargetWatch();

	const load = (): TargetLoad => {
		const now = clock.now();
		const waiting = admission.waiting();
		return {
			occupancy: (admission.running() + waiting) / admission.limit(),
			...targetShedLevel.load(admission.running() / admission.limit()),
			failureShare: failures.value(now),
			runTime: runTime.value(now),
			declined: offers.reportedDeclined(now),
			rate: rate.load(waiting),
		};
	};

	const finish = (pending: PendingRequest, outcome: Outcome) => {
		metrics.attemptEnded(outcome.kind);
		pending.finish(outcome, load());
	};

	const refuse = (pending: PendingRequest, reason: RefusalReason) => {
		finish(pending, {kind: 'refused', reason});
	};

	const findRefusalReason = (service: string): RefusalReason | undefined => {
		if (isStopping) {
			return 'nodeStopping';
		}

		if (!target || !access.client()) {
			return 'noTarget';
		}

		if (target.isLeaving) {
			return 'targetLeaving';
		}

		if (target.service !== service) {
			return 'otherService';
		}

		return access.isReachable() ? undefined : 'targetUnreachable';
	};

	const start = (pending: PendingRequest) => {
		const now = clock.now();
		const client = access.client();
		if (pending.until - now - responseMargin < 1 || !client) {
			admission.finish(undefined, pending.request.route);
			refuse(pending, client ? 'noTimeLeft' : 'noTarget');
			return;
		}

		if (!mayRunNow(pending)) {
			admission.finish(undefined, pending.request.route);
			return;
		}

		rate.take();
		pending.state = 'running';
		pending.startedAt = now;
		pending.admission = admission;
		pending.watch = watch;
		pending.ordinal = watch.started();
		metrics.targetStarted(now - pending.offeredAt);
		offers.recordStart(pending.request, now);
		profile.recordRun(pending.request.route);
		// A run may last longer than the wait of its caller.
		pending.request.bodyHold?.retain();
		pending.run = new TargetRun(runs, client, pending);
		pending.run.start();
	};

	const runs: TargetRunContext<PendingRequest> = {
		clock,
		wheel,
		events: {
			mayOfferAgain: (run) =>
				access.client() === run.client &&
				access.isReachable() &&
				mayOfferAgain(run, clock.now()),
			onOffer({item}, outcome) {
				recordOffer(item, outcome);
			},
			onFreed({item, lastOffer, repeats}, duration) {
				item.request.bodyHold?.release();
				if (!lastOffer || !isConnectionLoss(lastOffer)) {
					item.watch!.ended(item.ordinal);
					leaveIsolation(item);
				}

				offers.recordFreed(item.request, repeats);
				const elapsed = clock.now() - item.startedAt;
				metrics.targetEnded(elapsed);
				item.admission!.finish(duration, item.request.route);
				recordRunTime(elapsed, duration !== undefined);
				if (duration !== undefined) {
					profile.recordRunTime(item.request.route, duration);
				}

				startNext();
			},
			onOutcome(run, outcome) {
				const {item} = run;
				offers.recordEnd(item.request, outcome, clock.now());
				reportRepeats(options.reporter, run, outcome);
				if (isConnectionLoss(outcome)) {
					awaitVerdict(item, outcome);
				} else {
					finishRun(item, outcome);
				}
			},
			onUnresponsive() {
				access.renew();
			},
		},
	};

	/** Finishes a request whose connection was lost, once it is known whether the target crashed. */
	const awaitVerdict = (pending: PendingRequest, outcome: Outcome) => {
		pending.watch!.lost(pending, pending.ordinal, (hasCrashed) => {
			leaveIsolation(pending);
			finishRun(
				pending,
				hasCrashed ? {kind: 'lost', reason: 'targetCrashed'} : outcome,
			);
		});
	};

	/** Refuses a quarantined request and a repeat beyond the bound; holds back a suspect one while another suspect one runs. */
	const mayRunNow = (pending: PendingRequest): boolean => {
		const suspect = suspects.lookUp(pending.request);
		if (suspect && isQuarantined(suspect)) {
			refuse(pending, 'quarantined');
			return false;
		}

		if (!offers.mayStart(pending.request, clock.now())) {
			refuse(pending, 'noRoom');
			return false;
		}

		const crashes = Math.max(suspect?.crashes ?? 0, pending.request.crashes);
		return !isIsolated({crashes}) || isolation.enter(pending);
	};

	const leaveIsolation = (pending: PendingRequest) => {
		const next = isolation.leave(pending);
		if (next) {
			admit(next);
		}
	};

	const finishRun = (pending: PendingRequest, outcome: Outcome) => {
		if (pending.state === 'running') {
			finish(pending, outcome);
		} else {
			discardOutcome(outcome);
		}
	};

	/** An aborted run is only a lower bound of the run time, so it counts only above the current estimate. */
	const recordRunTime = (elapsed: number, isComplete: boolean) => {
		const now = clock.now();
		if (isComplete || elapsed > runTime.value(now)) {
			runTime.record(elapsed, now);
		}
	};

	const mayOfferAgain = (
		{item, repeats}: TargetRun<PendingRequest>,
		now: number,
	): boolean => {
		const isAllowed =
			item.state === 'running' &&
			!target?.isLeaving &&
			repeats < maxRepeats &&
			item.until - now >= minTimeToRepeat &&
			rate.waitTime(now) === 0 &&
			offers.take({request: item.request, repeats}, now);
		if (isAllowed) {
			rate.take();
			metrics.retried(item.request.service);
		}

		return isAllowed;
	};

	const recordOffer = ({request}: PendingRequest, outcome: Outcome) => {
		const now = clock.now();
		failures.record(
			outcome.kind !== 'answered' || isTargetFailure(outcome.status),
			now,
		);
		offers.recordOffer(outcome, now);
		if (outcome.kind === 'answered') {
			access.recordAnswer();
			suspects.recordAnswer(request);
		}
	};

	const startNext = () => {
		let pending = admission.next(clock.now());
		while (pending) {
			start(pending);
			pending = admission.next(clock.now());
		}

		scheduleTick();
	};

	const findRoomReason = (): RefusalReason =>
		rate.waitTime(clock.now()) > 0 ? 'rateLimited' : 'noRoom';

	const admit = (pending: PendingRequest) => {
		const decision = admission.offer(pending.request, pending, clock.now());
		if (decision === 'refuse') {
			refuse(pending, findRoomReason());
		} else if (decision === 'run') {
			start(pending);
		}
	};

	/** The timer runs only while requests wait or the shed level may change. */
	const scheduleTick = () => {
		if (ticker !== undefined) {
			return;
		}

		const isIdle =
			admission.waiting() + isolation.waiting() === 0 &&
			targetShedLevel.isIdle(offers.unserved(clock.now()));
		if (isIdle) {
			return;
		}

		ticker = clock.setTimer(shedPeriod / 4, () => {
			ticker = undefined;
			try {
				tick();
			} finally {
				scheduleTick();
			}
		});
	};

	let lastLevelUpdate = 0;
	const tick = () => {
		const now = clock.now();
		const isOverdue = ({offeredAt, request}: PendingRequest) =>
			offeredAt + request.maxWait < now;
		for (const pending of [
			...admission.expire(now),
			...isolation.removeWhere(isOverdue),
		]) {
			refuse(pending, 'waitedTooLong');
		}

		const elapsed = now - lastLevelUpdate;
		if (elapsed >= shedPeriod) {
			lastLevelUpdate = now;
			const declined = offers.declined(now);
			targetShedLevel.update({
				wait: admission.expectedWait(now),
				occupancy: Math.max(
					admission.running() / admission.limit(),
					rate.load(0)?.occupancy ?? 0,
				),
				arriving: ((1 - declined) * admission.takeArrivals()) / elapsed,
				declined,
				unserved: offers.unserved(now),
			});
		}

		if (rate.perSecond() < Number.POSITIVE_INFINITY) {
			startNext();
		}
	};

	const isKnownIncarnation = (record: TargetRecord) =>
		target?.targetId === record.targetId &&
		target.startedAt === record.startedAt &&
		target.address === record.address;

	const removeWaiting = (): PendingRequest[] => [
		...admission.clear(),
		...isolation.removeWhere(() => true),
	];

	return {
		setTarget(record) {
			const isNewIncarnation =
				record !== undefined && !isKnownIncarnation(record);
			if (isNewIncarnation) {
				watch.refused();
			}

			target = record;
			if (!record) {
				return;
			}

			// An announcement shows that the target is alive; the next request shows whether it is reachable.
			access.assumeReachable();
			if (isNewIncarnation) {
				const waiting = removeWaiting();
				watch = createTargetWatch();
				rate.reset(record.targetId);
				admission = createTargetAdmission<PendingRequest>(
					options.policy.limitOf(record.slots),
					rate,
					targetShedLevel.renewBulkhead(),
				);
				access.close();
				if (!record.isLeaving) {
					access.open(record);
				}

				for (const pending of waiting) {
					refuse(pending, 'targetReplaced');
				}
			}

			admission.setLimit(options.policy.limitOf(record.slots));
			if (record.isLeaving) {
				for (const pending of removeWaiting()) {
					refuse(pending, 'targetLeaving');
				}
			}
		},
		serves: (service) => findRefusalReason(service) === undefined,
		stop() {
			isStopping = true;
			for (const pending of removeWaiting()) {
				refuse(pending, 'nodeStopping');
			}
		},
		send(request, onOutcome) {
			const pending = new PendingRequest(request, onOutcome, clock.now());
			const refusalReason = findRefusalReason(request.service);
			if (refusalReason) {
				refuse(pending, refusalReason);
				return () => undefined;
			}

			admit(pending);
			scheduleTick();
			return () => {
				giveUp(pending);
			};
		},
		adoptRateLimit(incarnation, perSecond) {
			if (target && isSameIncarnation(target, incarnation)) {
				rate.adopt(perSecond);
			}
		},
		recordCall(route) {
			profile.recordCall(route);
			return offers.recordCall(route);
		},
		load,
		target: () =>
			target
				? [
						{
							...load(),
							service: target.service,
							slots: target.slots,
							isUsable: findRefusalReason(target.service) === undefined,
						},
					]
				: [],
		close() {
			rate.close();
			access.close();
		},
		openRequests: () =>
			admission.running() + admission.waiting() + isolation.waiting(),
		readings: () => ({
			inFlight: admission.running(),
			waiting: admission.waiting(),
			limit: admission.limit(),
			rateLimit: rate.limit(),
			shedLevel: targetShedLevel.own(),
			declined: offers.reportedDeclined(clock.now()),
		}),
	};

	function giveUp(pending: PendingRequest): void {
		if (pending.state === 'waiting') {
			pending.state = 'over';
			admission.withdraw(pending);
			isolation.withdraw(pending);
		} else if (pending.state === 'running') {
			pending.state = 'over';
			// A request that isn't idempotent runs to its end: its caller can't retry it,
			// so aborting it would save nothing.
			if (pending.request.isIdempotent) {
				pending.run?.cancel();
			}
		}
	}
}

function reportRepeats(
	reporter: MeshReporter,
	{item: {request}, repeats}: TargetRun<PendingRequest>,
	outcome: Outcome,
): void {
	if (repeats > 0) {
		reporter.decision('meshOfferedAgain', request.requestId, outcome.kind, {
			repeats,
		});
	}
}
