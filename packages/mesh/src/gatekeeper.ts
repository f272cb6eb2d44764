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
	type HandedRequest,
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
import {startTargetRun, wayBack, type TargetRun} from './target-run.js';

/** What a gatekeeper needs. */
export type GatekeeperOptions = {
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
export type Gatekeeper = TargetChannel & {
	/** Takes what is believed of the target now. */
	setTarget(record: TargetRecord | undefined): void;
	/** Whether a request for the service would be considered. */
	serves(service: string): boolean;
	/** Refuses everything from now on, since the node stops. */
	stop(): void;
	/** The target makes a call to the route; gives the share, from 0 to 1, of its work that is a repeat. */
	noteCall(route: string): number;
	load(): TargetLoad;
	/** Closes the connections to the target. */
	close(): void;
	/** Requests that run or wait. */
	held(): number;
	readings(): Pick<
		MeshReadings,
		'inFlight' | 'waiting' | 'limit' | 'shedLevel'
	>;
};

/** Offers after the first that one request may take: with half of them declined, one in a hundred needs more. */
const mostRepeats = 6;
/** Milliseconds below which another offer has no chance to end in time. */
const leastTimeToRepeat = 20;
type Job = WatchedRun & {
	/** The instant at which the caller has its final answer. */
	until: number;
	onOutcome: OutcomeHandler;
	run?: TargetRun;
	offeredAt: number;
	state: 'waiting' | 'running' | 'over';
};

/** Creates a gatekeeper without a target. */
export function createGatekeeper(options: GatekeeperOptions): Gatekeeper {
	const {clock, wheel, metrics, suspects} = options;
	const isolation = createIsolation<Job>();
	const levels = createTargetLevels(options.policy);
	const access = createTargetAccess({
		...options,
		onRefused() {
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
	let gate: Gate<Job> = createGate<Job>(1);
	let target: TargetRecord | undefined;
	let isStopping = false;
	let ticker: Timer | undefined;

	const watchTarget = (): CrashWatch<Job> =>
		createCrashWatch<Job>({
			clock,
			isLeaving: () => target?.isLeaving ?? true,
			onCrash(jobs, lost) {
				for (const job of isolation.takeOut(() => true)) {
					refuse(job, 'targetUnreachable');
				}

				const {noteCrash} = suspects;
				reportCrash({...options, noteCrash}, jobs, lost);
			},
			probe(onResult) {
				if (target) {
					probeListening(target.address, onResult);
				} else {
					onResult(true);
				}
			},
		});
	let watch = watchTarget();

	const load = (): TargetLoad => ({
		occupancy: (gate.running() + gate.waiting()) / gate.limit(),
		shedLevel: levels.own(),
		failureShare: failures.value(clock.now()),
		runTime: runTime.value(clock.now()),
	});

	const finish = (job: Job, outcome: Outcome) => {
		job.state = 'over';
		metrics.attemptEnded(outcome.kind);
		job.onOutcome(outcome, load());
	};

	const refuse = (job: Job, reason: RefusalReason) => {
		finish(job, {kind: 'refused', reason});
	};

	const findObstacle = (service: string): RefusalReason | undefined => {
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

	const start = (job: Job) => {
		const now = clock.now();
		const runGate = gate;
		const client = access.client();
		if (job.until - now - wayBack < 1 || !client) {
			gate.finish(undefined);
			refuse(job, client ? 'noTimeLeft' : 'noTarget');
			return;
		}

		if (!mayRunWithOthers(job)) {
			gate.finish(undefined);
			return;
		}

		job.state = 'running';
		job.startedAt = now;
		const runWatch = watch;
		let lastOffer: Outcome | undefined;
		const ordinal = runWatch.started();
		metrics.targetStarted(now - job.offeredAt);
		offers.noteStart(job.request, now);
		profile.noteRun(job.request.route);
		job.run = startTargetRun({
			clock,
			wheel,
			client,
			request: job.request,
			until: job.until,
			mayOfferAgain: () =>
				access.client() === client &&
				access.isReachable() &&
				mayOfferAgain(job, clock.now()),
			onOffer(outcome) {
				lastOffer = outcome;
				noteOffer(job, outcome);
			},
			onFreed(duration) {
				if (!lastOffer || !isConnectionLoss(lastOffer)) {
					runWatch.ended(ordinal);
					leaveIsolation(job);
				}

				metrics.targetEnded(clock.now() - now);
				runGate.finish(duration);
				noteRunTime(clock.now() - now, duration !== undefined);
				if (duration !== undefined) {
					profile.noteRunTime(job.request.route, duration);
				}

				startNext();
			},
			onOutcome(outcome) {
				offers.noteEnd(outcome, clock.now());
				tellRepeats(job, outcome);
				if (!isConnectionLoss(outcome)) {
					finishRun(job, outcome);
					return;
				}

				runWatch.lost(job, ordinal, (hasCrashed) => {
					leaveIsolation(job);
					finishRun(
						job,
						hasCrashed ? {kind: 'lost', reason: 'targetCrashed'} : outcome,
					);
				});
			},
			onSilent() {
				access.renew();
			},
		});
	};

	/** Refuses a request that crashes targets, and keeps one that may do so until another such one has ended. */
	const mayRunWithOthers = (job: Job): boolean => {
		const suspect = suspects.lookUp(job.request);
		if (suspect && isQuarantined(suspect)) {
			refuse(job, 'quarantined');
			return false;
		}

		const crashes = Math.max(suspect?.crashes ?? 0, job.request.crashes);
		return !isIsolated({crashes}) || isolation.enter(job);
	};

	const leaveIsolation = (job: Job) => {
		const next = isolation.leave(job);
		if (next) {
			admit(next);
		}
	};

	const finishRun = (job: Job, outcome: Outcome) => {
		if (job.state === 'running') {
			finish(job, outcome);
		}
	};

	/** A run that was given up says at least that it takes longer. */
	const noteRunTime = (elapsed: number, isWhole: boolean) => {
		const now = clock.now();
		if (isWhole || elapsed > runTime.value(now)) {
			runTime.note(elapsed, now);
		}
	};

	const mayOfferAgain = (job: Job, now: number): boolean => {
		const isAllowed =
			job.state === 'running' &&
			!target?.isLeaving &&
			(job.run?.repeats() ?? 0) < mostRepeats &&
			job.until - now >= leastTimeToRepeat &&
			offers.take(now);
		if (isAllowed) {
			metrics.retried(job.request.service);
		}

		return isAllowed;
	};

	const noteOffer = ({request}: Job, outcome: Outcome) => {
		const now = clock.now();
		failures.note(
			outcome.kind !== 'answered' || isTargetFailure(outcome.status),
			now,
		);
		offers.noteOffer(outcome, now);
		if (outcome.kind === 'answered') {
			access.noteAnswer();
			suspects.noteAnswer(request);
		}
	};

	const tellRepeats = ({request, run}: Job, outcome: Outcome) => {
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
		for (let job = gate.next(); job; job = gate.next()) {
			start(job);
		}

		scheduleTick();
	};

	const admit = (job: Job) => {
		const decision = gate.offer(job.request, job, clock.now());
		if (decision === 'refuse') {
			refuse(job, 'noRoom');
		} else if (decision === 'run') {
			start(job);
		}
	};

	/** Runs only while there is something to expire or a level to lower. */
	const scheduleTick = () => {
		const now = clock.now();
		const isIdle =
			gate.waiting() + isolation.waiting() === 0 &&
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

	let lastUpdate = 0;
	const tick = () => {
		const now = clock.now();
		const isOverdue = ({offeredAt, request}: Job) =>
			offeredAt + request.patience < now;
		for (const job of [...gate.expire(now), ...isolation.takeOut(isOverdue)]) {
			refuse(job, 'waitedTooLong');
		}

		const elapsed = now - lastUpdate;
		if (elapsed >= shedPeriod) {
			lastUpdate = now;
			const declined = offers.declined(now);
			levels.update({
				wait: gate.expectedWait(),
				occupancy: gate.running() / gate.limit(),
				arriving: ((1 - declined) * gate.takeArrivals()) / elapsed,
				declined,
				unserved: offers.unserved(now),
			});
		}
	};

	const isKnownStart = (record: TargetRecord) =>
		target?.targetId === record.targetId &&
		target.startedAt === record.startedAt &&
		target.address === record.address;

	const takeWaiting = (): Job[] => [
		...gate.clear(),
		...isolation.takeOut(() => true),
	];

	return {
		setTarget(record) {
			const isOtherStart = record !== undefined && !isKnownStart(record);
			if (isOtherStart) {
				watch.refused();
			}

			target = record;
			if (!record) {
				return;
			}

			// Each announcement says that the target lives; the next request shows whether it is reached.
			access.assumeReachable();
			if (isOtherStart) {
				const waiting = takeWaiting();
				watch = watchTarget();
				gate = createGate<Job>(options.policy.limitOf(record.slots));
				access.close();
				if (!record.isLeaving) {
					access.open(record);
				}

				for (const job of waiting) {
					refuse(job, 'targetReplaced');
				}
			}

			gate.setLimit(options.policy.limitOf(record.slots));
			if (record.isLeaving) {
				for (const job of takeWaiting()) {
					refuse(job, 'targetLeaving');
				}
			}
		},
		serves: (service) => findObstacle(service) === undefined,
		stop() {
			isStopping = true;
			for (const job of takeWaiting()) {
				refuse(job, 'nodeStopping');
			}
		},
		send(request, onOutcome) {
			const now = clock.now();
			const job: Job = {
				request,
				until: now + request.timeLeft,
				onOutcome,
				offeredAt: now,
				startedAt: now,
				state: 'waiting',
			};
			const obstacle = findObstacle(request.service);
			if (obstacle) {
				refuse(job, obstacle);
				return () => undefined;
			}

			admit(job);
			scheduleTick();
			return () => {
				giveUp(job);
			};
		},
		noteCall(route) {
			profile.noteCall(route);
			return offers.noteCall();
		},
		load,
		close() {
			access.close();
		},
		held: () => gate.running() + gate.waiting() + isolation.waiting(),
		readings: () => ({
			inFlight: gate.running(),
			waiting: gate.waiting(),
			limit: gate.limit(),
			shedLevel: levels.own(),
		}),
	};

	function giveUp(job: Job): void {
		if (job.state === 'waiting') {
			job.state = 'over';
			gate.withdraw(job);
			isolation.withdraw(job);
		} else if (job.state === 'running') {
			job.state = 'over';
			// Work that may not be repeated is left to end: cutting it off spares nothing that its caller could still get.
			if (job.request.isIdempotent) {
				job.run?.cancel();
			}
		}
	}
}
