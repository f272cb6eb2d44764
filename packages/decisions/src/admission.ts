/**
 * Admission at the target's node: puts the modules together. A request that
 * arrives gets its priority number, is held against the levels, the deadline
 * and the slots, and runs, waits or is refused; nothing is decided twice.
 */
import {ErrorCode, rankOf, type LoadReport} from '@egretspoke/protocol';
import {
	closeLevelWindow,
	countUse,
	createAdmissionLevel,
	isWindowOver,
	levelWindow,
	highestEssential,
	noteArrival,
} from './admission-level.js';
import {createAdmissionOptions} from './admission-options.js';
import {
	createAdmissionQueue,
	enqueue,
	firstToExpire,
	lengthOf,
	oldestOverShare,
	shortWaiting,
	slotTimeAhead,
	takeAll,
	takeById,
	takeNext,
	waitingEntries,
	type QueueEntry,
} from './admission-queue.js';
import {
	createConcurrencyLimit,
	noteFull,
	noteLatency,
	noteShed,
} from './concurrency-limit.js';
import {
	createFairShare,
	isOverShareNumber,
	noteDemand,
	numberRequest,
	settleShares,
} from './fair-share.js';
import {beginChain, endChain, levelBelow} from './levels-below.js';
import {
	averageSlots,
	countSlot,
	createLongAmongShort,
	isLongDuration,
	mayRunLong,
} from './long-among-short.js';
import {
	countRunning,
	createOperationDurations,
	expectDuration,
	learnDuration,
	runningOf,
	scaleToReference,
	typicalDuration,
} from './operation-durations.js';
import type {
	AdmissionContext,
	AdmissionPolicy,
	AdmissionTurn,
	CallFacts,
	Completion,
	RefusalDecision,
} from './policy.js';

/** The slot time assumed while nothing has been learnt, in milliseconds. */
const unknownDuration = 10;

type Running = {
	operation: string;
	chain: string;
	rank: number;
	isLong: boolean;
};

/** Whether an end tells how long the operation takes, or only that it is no shorter. */
const isWholeDuration: Partial<Record<Completion['result'], boolean>> = {
	ok: true,
	timeout: false,
	cancelled: false,
};

/** Creates the admission of one target. */
export function createAdmission(context: AdmissionContext): AdmissionPolicy {
	const options = createAdmissionOptions(context);
	const durations = createOperationDurations();
	const limit = createConcurrencyLimit(context.slots);
	const queue = createAdmissionQueue();
	const running = new Map<string, Running>();
	let startedAt: number | undefined;
	let level = createAdmissionLevel(0);
	let shares = createFairShare(0);
	let slots = createLongAmongShort(0);
	let queueDelay = 0;

	const slotsInForce = () => options.limitOf(limit);
	const serviceTime = () => durations.average || unknownDuration;

	const advance = (now: number) => {
		if (startedAt === undefined) {
			startedAt = now;
			level = createAdmissionLevel(now);
			shares = createFairShare(now);
			slots = createLongAmongShort(now);
		}

		countUse(level, running.size, now);
		averageSlots(slots, now);
		if (isWindowOver(level, serviceTime(), now)) {
			closeWindow(now);
		}
	};

	const closeWindow = (now: number) => {
		closeLevelWindow(
			level,
			{
				limit: slotsInForce(),
				waiting: waitingEntries(queue),
				serviceTime: serviceTime(),
			},
			now,
		);
		settleShares(shares, now);
	};

	/** From when on the queue counts as standing. */
	const standingFrom = () =>
		options.hasQueueTime && queue.standingSince !== undefined
			? queue.standingSince + levelWindow(serviceTime())
			: Number.POSITIVE_INFINITY;
	const isStanding = (now: number) => standingFrom() <= now;

	const mayLong = (rank: number) =>
		mayRunLong(slots, rank, slotsInForce(), (other) =>
			shortWaiting(queue, other),
		);

	const refuse = (code: ErrorCode, reason: string): RefusalDecision => {
		level.refused++;
		const retryAfter = options.comeBack({
			waiting: lengthOf(queue),
			refused: level.refused + level.refusedBefore,
			drainRate: slotsInForce() / serviceTime(),
			serviceTime: serviceTime(),
		});
		return {kind: 'refuse', code, reason, retryAfter};
	};

	const begin = (call: CallFacts, entry: Running, priority: number) => {
		running.set(call.id, entry);
		countSlot(slots, entry.rank, entry.isLong, 1);
		countRunning(durations, entry.operation, 1);
		if (running.size >= slotsInForce()) {
			noteFull(limit);
		}

		if (context.below) {
			beginChain(context.below, entry.chain, entry.operation, priority);
		}
	};

	const numberOf = (call: CallFacts, isLong: boolean): number => {
		const requestClass = options.classOf(call.requestClass);
		if (call.priority !== undefined) {
			return requestClass === 'essential'
				? Math.min(call.priority, highestEssential)
				: call.priority;
		}

		const {caller, chain = call.id} = call;
		if (options.hasFairShare) {
			noteDemand(shares, {caller, requestClass});
		}

		return numberRequest(shares, {requestClass, caller, chain, isLong});
	};

	const refuseByLevel = (priority: number, allowed: number) =>
		isOverShareNumber(priority)
			? refuse(
					ErrorCode.CallerOverShare,
					`priority ${priority} is over its caller's share, level ${Math.round(allowed)}`,
				)
			: refuse(
					ErrorCode.LevelTooLow,
					`priority ${priority} is above level ${Math.round(allowed)}`,
				);

	const arrive = (call: CallFacts, now: number) => {
		const {id, operation, deadline} = call;
		if (deadline <= now) {
			return refuse(ErrorCode.DeadlinePassed, 'arrived after its deadline');
		}

		const rank = rankOf(options.classOf(call.requestClass));
		const expected = expectDuration(durations, operation);
		const isLong =
			options.hasLongAmongShort &&
			isLongDuration(expected, typicalDuration(durations));
		const priority = numberOf(call, isLong);
		const slotTime = expected || unknownDuration;
		noteArrival(level, priority, slotTime);

		const below = options.levelBelow(operation, now);
		if (priority > below) {
			return refuseByLevel(priority, below);
		}

		const latest = options.latestStart(
			deadline,
			expected,
			runningOf(durations, operation),
		);
		const entry = {operation, chain: call.chain ?? id, rank, isLong};
		if (latest <= now) {
			return refuse(
				ErrorCode.DeadlineInfeasible,
				`takes about ${Math.round(expected)} ms, ${Math.round(deadline - now)} ms are left`,
			);
		}

		if (
			running.size < slotsInForce() &&
			lengthOf(queue) === 0 &&
			(!isLong || mayLong(rank))
		) {
			begin(call, entry, priority);
			return {
				kind: 'dispatch' as const,
				reason: `${running.size} of ${slotsInForce()} slots`,
			};
		}

		if (priority > level.level) {
			return refuseByLevel(priority, level.level);
		}

		const ahead = slotTimeAhead(queue, priority) / slotsInForce();
		if (options.hasFeasibility && !isStanding(now) && now + ahead > latest) {
			return refuse(
				ErrorCode.DeadlineInfeasible,
				`${Math.round(ahead)} ms of work are ahead of it`,
			);
		}

		enqueue(queue, {
			call,
			rank,
			isLong,
			since: now,
			slotTime,
			latest,
			until: options.patienceOf(rank, latest, deadline, now),
			priority,
		});
		return {
			kind: 'wait' as const,
			reason: `${running.size} of ${slotsInForce()} slots, ${lengthOf(queue)} wait`,
		};
	};

	/** The oldest request over its share that has waited too long in a queue that stands. */
	const outstayed = (now: number): QueueEntry | undefined => {
		const entry = oldestOverShare(queue);
		return entry && entry.since + serviceTime() <= now ? entry : undefined;
	};

	const takeRefused = (now: number): AdmissionTurn[] => {
		const turns: AdmissionTurn[] = [];
		const give = ({call, since}: QueueEntry, code: ErrorCode) => {
			const reason = `waited ${Math.round(now - since)} ms`;
			turns.push({id: call.id, ...refuse(code, reason)});
		};

		for (
			let entry = firstToExpire(queue);
			entry && entry.until <= now;
			entry = firstToExpire(queue)
		) {
			takeById(queue, entry.call.id);
			give(
				entry,
				entry.latest <= now
					? ErrorCode.DeadlineInfeasible
					: ErrorCode.QueueTimeout,
			);
		}

		if (isStanding(now)) {
			for (let entry = outstayed(now); entry; entry = outstayed(now)) {
				takeById(queue, entry.call.id);
				give(entry, ErrorCode.QueueTimeout);
			}
		}

		return turns;
	};

	const takeDispatched = (now: number): AdmissionTurn[] => {
		const turns: AdmissionTurn[] = [];
		while (running.size < slotsInForce()) {
			const entry = takeNext(queue, mayLong);
			if (!entry) {
				break;
			}

			const {call, rank, isLong, priority} = entry;
			queueDelay = now - entry.since;
			begin(
				call,
				{
					operation: call.operation,
					chain: call.chain ?? call.id,
					rank,
					isLong,
				},
				priority,
			);
			turns.push({
				id: call.id,
				kind: 'dispatch',
				reason: `waited ${Math.round(queueDelay)} ms, ${running.size} of ${slotsInForce()} slots`,
			});
		}

		return turns;
	};

	const learn = (entry: Running, {duration, result}: Completion) => {
		const isWhole = isWholeDuration[result];
		if (result === 'ok') {
			noteLatency(
				limit,
				scaleToReference(durations, entry.operation, duration),
			);
		} else if (result === 'shed') {
			noteShed(limit, running.size + 1);
		}

		if (isWhole !== undefined) {
			learnDuration(durations, entry.operation, duration, isWhole);
		}
	};

	/** When the queue will have stood, or its oldest request outstays. */
	const standingExpiry = (): number => {
		const oldest = oldestOverShare(queue)?.since;
		return oldest === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(standingFrom(), oldest + serviceTime());
	};

	return {
		arrive(call, now) {
			advance(now);
			return arrive(call, now);
		},
		withdraw: (id) =>
			options.hasCancellation && takeById(queue, id) !== undefined,
		finish(id, completion, now) {
			const entry = running.get(id);
			if (!entry) {
				return;
			}

			advance(now);
			running.delete(id);
			countSlot(slots, entry.rank, entry.isLong, -1);
			countRunning(durations, entry.operation, -1);
			learn(entry, completion);
			if (context.below) {
				endChain(context.below, entry.chain);
			}
		},
		turns(now) {
			advance(now);
			return [...takeRefused(now), ...takeDispatched(now)];
		},
		wakeAt() {
			const first = firstToExpire(queue)?.until;
			if (first === undefined || !options.hasQueueTime) {
				return first;
			}

			return Math.min(first, standingExpiry());
		},
		drain() {
			return takeAll(queue).map(({call}) => ({
				id: call.id,
				kind: 'refuse',
				code: ErrorCode.Leaving,
				reason: 'the target is leaving',
				retryAfter: 0,
			}));
		},
		report: (now, operation): LoadReport => ({
			inFlight: running.size,
			limit: slotsInForce(),
			waiting: lengthOf(queue),
			queueDelay: lengthOf(queue) === 0 ? 0 : queueDelay,
			level: Math.min(
				level.level,
				operation === undefined
					? level.level
					: Math.round(options.levelBelow(operation, now)),
			),
			serviceTime: durations.average,
		}),
	};
}
