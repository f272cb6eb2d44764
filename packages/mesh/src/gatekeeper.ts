/**
 * The node's side of the target beside it: the only way to that target.
 *
 * Whatever must hold of the target holds here without asking anybody: how much
 * it runs, in which order, that it gets nothing more once its leaving has been
 * acknowledged, and that a refusal is true. An entry with an old view of the
 * fleet costs a hop, never a promise.
 */
import type {MeshMetrics, MeshReadings} from '@egretspoke/observability';
import type {Clock, Timer} from '@egretspoke/shared';
import type {DeadlineWheel} from './deadline-wheel.js';
import {createDeeperLevel} from './decisions/deeper-level.js';
import {createFailureShare} from './decisions/failure-share.js';
import {createGate, type Gate} from './decisions/gate.js';
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {createShedLevel, shedPeriod} from './decisions/shed-level.js';
import {
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
import {createTargetAccess} from './target-access.js';
import type {TargetRecord} from './target-record.js';

/** What a gatekeeper needs. */
export type GatekeeperOptions = {
	clock: Clock;
	wheel: DeadlineWheel;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	policy: MeshPolicy;
	/** How many priorities the configuration has. */
	tiers: () => number;
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
	/** The target's own calls met this level at the services that they went to. */
	noteDeeperLevel(level: number): void;
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

/** Milliseconds for an answer to get back to the caller before its time is over. */
const returnTime = 8;
/** Milliseconds after the end of a request's time until a target that has not stopped is cut off. */
const overtime = 100;
/**
 * Milliseconds that a target may go on with work that its caller no longer
 * wants. When one call of a request fails, its target gives up the others, and
 * each of those targets the calls below it: cut off at once, every such call
 * costs a connection, which takes longer to open again than most of them have
 * left. With every second call to the deepest service failing for three
 * seconds, fifteen targets took 3,091 new connections without this and 494 with
 * it. Half a second is what callers' operators allow; this is half of it, since
 * a cancel takes a while to arrive.
 */
const cancelGrace = 250;

type Job = {
	request: HandedRequest;
	/** The instant at which the caller has its final answer. */
	until: number;
	onOutcome: OutcomeHandler;
	cancelRun?: () => void;
	offeredAt: number;
	state: 'waiting' | 'running' | 'over';
};

/** Creates a gatekeeper without a target. */
export function createGatekeeper(options: GatekeeperOptions): Gatekeeper {
	const {clock, wheel, metrics} = options;
	const ownLevel = createShedLevel();
	const deeperLevel = createDeeperLevel();
	const access = createTargetAccess(options);
	const failures = createFailureShare();
	let gate: Gate<Job> = createGate<Job>(1);
	let target: TargetRecord | undefined;
	let isStopping = false;
	let ticker: Timer | undefined;

	const load = (): TargetLoad => ({
		occupancy: (gate.running() + gate.waiting()) / gate.limit(),
		shedLevel: Math.max(ownLevel.value(), deeperLevel.value(clock.now())),
		failureShare: failures.value(clock.now()),
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
		const timeLeft = job.until - now - returnTime;
		const runGate = gate;
		const client = access.client();
		if (timeLeft < 1 || !client) {
			gate.finish(undefined);
			refuse(job, client ? 'noTimeLeft' : 'noTarget');
			return;
		}

		job.state = 'running';
		metrics.targetStarted(now - job.offeredAt);
		let isEnded = false;
		let removeCancel: () => void = () => undefined;
		const end = (duration: number | undefined) => {
			if (!isEnded) {
				isEnded = true;
				removeGuard();
				removeCancel();
				runGate.finish(duration);
				startNext();
			}
		};

		const removeGuard = wheel.add(job.until + overtime, () => {
			cancelClient();
			end(undefined);
			access.renew();
			if (job.state === 'running') {
				finish(job, {kind: 'lost', reason: 'noAnswerInTime'});
			}
		});
		const cancelClient = client.run(job.request, timeLeft, (outcome) => {
			const duration = clock.now() - now;
			metrics.targetEnded(duration);
			end(outcome.kind === 'answered' ? duration : undefined);
			noteOutcome(outcome);
			if (job.state === 'running') {
				finish(job, outcome);
			}
		});
		job.cancelRun = () => {
			removeCancel = wheel.add(clock.now() + cancelGrace, () => {
				cancelClient();
				end(undefined);
			});
		};
	};

	const noteOutcome = (outcome: Outcome) => {
		failures.note(
			outcome.kind !== 'answered' || isTargetFailure(outcome.status),
			clock.now(),
		);
		if (outcome.kind === 'answered') {
			access.noteAnswer();
		}
	};

	const startNext = () => {
		for (let job = gate.next(); job; job = gate.next()) {
			start(job);
		}

		scheduleTick();
	};

	/** Runs only while there is something to expire or a level to lower. */
	const scheduleTick = () => {
		const isIdle = gate.waiting() === 0 && ownLevel.value() === 0;
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
		for (const job of gate.expire(now)) {
			refuse(job, 'waitedTooLong');
		}

		if (now - lastUpdate >= shedPeriod) {
			lastUpdate = now;
			ownLevel.update(
				{
					wait: gate.expectedWait(),
					occupancy: gate.running() / gate.limit(),
				},
				options.tiers(),
			);
		}
	};

	return {
		setTarget(record) {
			const known = target;
			target = record;
			if (!record) {
				return;
			}

			// Each announcement says that the target lives; the next request shows whether it is reached.
			access.assumeReachable();
			if (
				known?.targetId !== record.targetId ||
				known.startedAt !== record.startedAt ||
				known.address !== record.address
			) {
				const waiting = gate.clear();
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
				for (const job of gate.clear()) {
					refuse(job, 'targetLeaving');
				}
			}
		},
		serves: (service) => findObstacle(service) === undefined,
		stop() {
			isStopping = true;
			for (const job of gate.clear()) {
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
				state: 'waiting',
			};
			const obstacle = findObstacle(request.service);
			if (obstacle) {
				refuse(job, obstacle);
				return () => undefined;
			}

			const decision = gate.offer(request, job, now);
			if (decision === 'refuse') {
				refuse(job, 'noRoom');
			} else if (decision === 'run') {
				start(job);
			}

			scheduleTick();
			return () => {
				giveUp(job);
			};
		},
		noteDeeperLevel(level) {
			deeperLevel.note(level, clock.now());
		},
		load,
		close() {
			access.close();
		},
		held: () => gate.running() + gate.waiting(),
		readings: () => ({
			inFlight: gate.running(),
			waiting: gate.waiting(),
			limit: gate.limit(),
			shedLevel: load().shedLevel,
		}),
	};

	function giveUp(job: Job): void {
		if (job.state === 'waiting') {
			job.state = 'over';
			gate.withdraw(job);
		} else if (job.state === 'running') {
			job.state = 'over';
			// Work that may not be repeated is left to end: cutting it off spares nothing that its caller could still get.
			if (job.request.isIdempotent) {
				job.cancelRun?.();
			}
		}
	}
}
