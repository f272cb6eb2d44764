/**
 * The node's side of the target beside it: the only way to that target.
 *
 * Whatever must hold of the target holds here without asking anybody: how much
 * it runs, in which order, that it gets nothing more once its leaving has been
 * acknowledged, and that a refusal is true. An entry with an old view of the
 * fleet costs a hop, never a promise.
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
import {reportCrash, type WatchedRun} from './crash-report.js';
import type {DeadlineWheel} from './deadline-wheel.js';
import type {CallProfile} from './decisions/call-profile.js';
import {createFailureShare} from './decisions/failure-share.js';
import {createGate, type Gate} from './decisions/gate.js';
import type {MeshPolicy} from './decisions/mesh-policy.js';
import type {OfferBudgetOptions} from './decisions/offer-budget.js';
import {createRunTime} from './decisions/run-time.js';
import {shedPeriod} from './decisions/shed-level.js';
import {
	isConnectionLoss,
	isTargetFailure,
	type ForwardedRequest,
	type Outcome,
	type OutcomeHandler,
	type RefusalReason,
	type TargetChannel,
	type TargetLoad,
} from './exchange.js';
import type {HeaderNames} from './header-names.js';
import type {MeshReporter} from './mesh-reporter.js';
import {createRepeatedOffers} from './repeated-offers.js';
import type {Suspects} from './suspects.js';
import {createTargetAccess} from './target-access.js';
import {createTargetLevels} from './target-levels.js';
import type {TargetRecord} from './target-record.js';
import {startTargetRun, responseMargin, type TargetRun} from './target-run.js';

/** What a gatekeeper needs. */
export type TargetDispatcherOptions = {
	clock: Clock;
	wheel: DeadlineWheel;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	policy: MeshPolicy;
	/** Learns what requests cause at the target. */
	profile: CallProfile;
	/** The bound on repeats at a service, over all nodes. */
	retryBudget: OfferBudgetOptions;
	/** Requests under which targets crashed. */
	suspects: Pick<Suspects, 'lookUp' | 'noteCrash' | 'noteAnswer'>;
	/** The target can't be reached or has been replaced; true once it answers again. */
	onReachable: (isReachable: boolean) => void;
};

/** The only way to the target beside this node. */
export type TargetDispatcher = TargetChannel & {
	/** Takes what is believed of the target now. */
	setTarget(record: TargetRecord | undefined): void;
	/** Whether a request for the service would be considered. */
	serves(service: string): boolean;
	/** Refuses everything from now on, since the node stops. */
	stop(): void;
	/** The target makes a call to the route; gives the share, from 0 to 1, of its work that is a repeat. */
	recordCall(route: string): number;
	load(): TargetLoad;
	/** Closes the connections to the target. */
	close(): void;
	/** Requests that run or wait. */
	openRequests(): number;
	readings(): Pick<
		MeshReadings,
		'inFlight' | 'waiting' | 'limit' | 'shedLevel'
	>;
};

/** Offers after the first that one request may take: with half of them declined, one in a hundred needs more. */
const maxRepeats = 6;
/** Milliseconds below which another offer has no chance to end in time. */
const minTimeToRepeat = 20;
type PendingRequest = WatchedRun & {
	/** The instant at which the caller has its final answer. */
	until: number;
	onOutcome: OutcomeHandler;
	run?: TargetRun;
	offeredAt: number;
	state: 'waiting' | 'running' | 'over';
};

/** Creates a gatekeeper without a target. */
export function createTargetDispatcher(
	options: TargetDispatcherOptions,
): TargetDispatcher {
	const {clock, wheel, metrics, suspects} = options;
	const isolation = createIsolation<PendingRequest>();
	const levels = createTargetLevels(options.policy);
	const access = createTargetAccess({
		...options,
		onConnectionRefused() {
			watch.refused();
		},
	});
	const failures = createFailureShare();
	const runTime = createRunTime();
	const offers = createRepeatedOffers({
		policy: options.policy,
		budget: options.retryBudget,
	});
	const {profile} = options;
	let admission: Gate<PendingRequest> = createGate<PendingRequest>(1);
	let target: TargetRecord | undefined;
	let isStopping = false;
	let ticker: Timer | undefined;

	const createTargetWatch = (): CrashWatch<PendingRequest> =>
		createCrashWatch<PendingRequest>({
			clock,
			isLeaving: () => target?.isLeaving ?? true,
			onCrash(crashedRuns, lost) {
				for (const pending of isolation.takeOut(() => true)) {
					refuse(pending, 'targetUnreachable');
				}

				const {noteCrash} = suspects;
				reportCrash({...options, recordCrash: noteCrash}, crashedRuns, lost);
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

	const load = (): TargetLoad => ({
		occupancy: (admission.running() + admission.waiting()) / admission.limit(),
		shedLevel: levels.own(),
		failureShare: failures.value(clock.now()),
		runTime: runTime.value(clock.now()),
	});

	const finish = (pending: PendingRequest, outcome: Outcome) => {
		pending.state = 'over';
		metrics.attemptEnded(outcome.kind);
		pending.onOutcome(outcome, load());
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
		const runAdmission = admission;
		const client = access.client();
		if (pending.until - now - responseMargin < 1 || !client) {
			admission.finish(undefined);
			refuse(pending, client ? 'noTimeLeft' : 'noTarget');
			return;
		}

		if (!mayRunNow(pending)) {
			admission.finish(undefined);
			return;
		}

		pending.state = 'running';
		pending.startedAt = now;
		const runWatch = watch;
		let lastOffer: Outcome | undefined;
		const ordinal = runWatch.started();
		metrics.targetStarted(now - pending.offeredAt);
		offers.recordStart(pending.request, now);
		profile.noteRun(pending.request.route);
		pending.run = startTargetRun({
			clock,
			wheel,
			client,
			request: pending.request,
			until: pending.until,
			mayOfferAgain: () =>
				access.client() === client &&
				access.isReachable() &&
				mayOfferAgain(pending, clock.now()),
			onOffer(outcome) {
				lastOffer = outcome;
				recordOffer(pending, outcome);
			},
			onFreed(duration) {
				if (!lastOffer || !isConnectionLoss(lastOffer)) {
					runWatch.ended(ordinal);
					leaveIsolation(pending);
				}

				metrics.targetEnded(clock.now() - now);
				runAdmission.finish(duration);
				recordRunTime(clock.now() - now, duration !== undefined);
				if (duration !== undefined) {
					profile.noteRunTime(pending.request.route, duration);
				}

				startNext();
			},
			onOutcome(outcome) {
				offers.recordEnd(outcome, clock.now());
				reportRepeats(pending, outcome);
				if (!isConnectionLoss(outcome)) {
					finishRun(pending, outcome);
					return;
				}

				runWatch.lost(pending, ordinal, (hasCrashed) => {
					leaveIsolation(pending);
					finishRun(
						pending,
						hasCrashed ? {kind: 'lost', reason: 'targetCrashed'} : outcome,
					);
				});
			},
			onUnresponsive() {
				access.renew();
			},
		});
	};

	/** Refuses a request that crashes targets, and keeps one that may do so until another such one has ended. */
	const mayRunNow = (pending: PendingRequest): boolean => {
		const suspect = suspects.lookUp(pending.request);
		if (suspect && isQuarantined(suspect)) {
			refuse(pending, 'quarantined');
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
		}
	};

	/** A run that was given up says at least that it takes longer. */
	const recordRunTime = (elapsed: number, isWhole: boolean) => {
		const now = clock.now();
		if (isWhole || elapsed > runTime.value(now)) {
			runTime.note(elapsed, now);
		}
	};

	const mayOfferAgain = (pending: PendingRequest, now: number): boolean => {
		const isAllowed =
			pending.state === 'running' &&
			!target?.isLeaving &&
			(pending.run?.repeats() ?? 0) < maxRepeats &&
			pending.until - now >= minTimeToRepeat &&
			offers.take(now);
		if (isAllowed) {
			metrics.sentAgain(pending.request.service);
		}

		return isAllowed;
	};

	const recordOffer = ({request}: PendingRequest, outcome: Outcome) => {
		const now = clock.now();
		failures.note(
			outcome.kind !== 'answered' || isTargetFailure(outcome.status),
			now,
		);
		offers.recordOffer(outcome, now);
		if (outcome.kind === 'answered') {
			access.recordAnswer();
			suspects.noteAnswer(request);
		}
	};

	const reportRepeats = ({request, run}: PendingRequest, outcome: Outcome) => {
		const repeats = run?.repeats() ?? 0;
		if (repeats > 0) {
			options.reporter.decision(
				'meshOfferedAgain',
				request.requestId,
				outcome.kind,
				{repeats},
			);
		}
	};

	const startNext = () => {
		for (let pending = admission.next(); pending; pending = admission.next()) {
			start(pending);
		}

		scheduleTick();
	};

	const admit = (pending: PendingRequest) => {
		const decision = admission.offer(pending.request, pending, clock.now());
		if (decision === 'refuse') {
			refuse(pending, 'noRoom');
		} else if (decision === 'run') {
			start(pending);
		}
	};

	/** Runs only while there is something to expire or a level to lower. */
	const scheduleTick = () => {
		const now = clock.now();
		const isIdle =
			admission.waiting() + isolation.waiting() === 0 &&
			levels.isIdle(offers.unserved(now));
		if (ticker !== undefined || isIdle) {
			return;
		}

		ticker = clock.setTimer(shedPeriod / 4, () => {
			ticker = undefined;
			tick();
			scheduleTick();
		});
	};

	let lastLevelUpdate = 0;
	const tick = () => {
		const now = clock.now();
		const isOverdue = ({offeredAt, request}: PendingRequest) =>
			offeredAt + request.patience < now;
		for (const pending of [
			...admission.expire(now),
			...isolation.takeOut(isOverdue),
		]) {
			refuse(pending, 'waitedTooLong');
		}

		const elapsed = now - lastLevelUpdate;
		if (elapsed >= shedPeriod) {
			lastLevelUpdate = now;
			const declined = offers.declined(now);
			levels.update({
				wait: admission.expectedWait(),
				occupancy: admission.running() / admission.limit(),
				arriving: ((1 - declined) * admission.takeArrivals()) / elapsed,
				declined,
				unserved: offers.unserved(now),
			});
		}
	};

	const isKnownIncarnation = (record: TargetRecord) =>
		target?.targetId === record.targetId &&
		target.startedAt === record.startedAt &&
		target.address === record.address;

	const removeWaiting = (): PendingRequest[] => [
		...admission.clear(),
		...isolation.takeOut(() => true),
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

			// Each announcement says that the target lives; the next request shows whether it is reached.
			access.assumeReachable();
			if (isNewIncarnation) {
				const waiting = removeWaiting();
				watch = createTargetWatch();
				admission = createGate<PendingRequest>(
					options.policy.limitOf(record.slots),
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
			const now = clock.now();
			const pending: PendingRequest = {
				request,
				until: now + request.timeLeft,
				onOutcome,
				offeredAt: now,
				startedAt: now,
				state: 'waiting',
			};
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
		recordCall(route) {
			profile.noteCall(route);
			return offers.recordCall();
		},
		load,
		close() {
			access.close();
		},
		openRequests: () =>
			admission.running() + admission.waiting() + isolation.waiting(),
		readings: () => ({
			inFlight: admission.running(),
			waiting: admission.waiting(),
			limit: admission.limit(),
			shedLevel: levels.own(),
		}),
	};

	function giveUp(pending: PendingRequest): void {
		if (pending.state === 'waiting') {
			pending.state = 'over';
			admission.withdraw(pending);
			isolation.withdraw(pending);
		} else if (pending.state === 'running') {
			pending.state = 'over';
			// Work that may not be repeated is left to end: cutting it off spares nothing that its caller could still get.
			if (pending.request.isIdempotent) {
				pending.run?.cancel();
			}
		}
	}
}
