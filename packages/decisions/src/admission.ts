/**
 * Admission at the target's node: puts the modules together. A request that
 * arrives gets its priority number, is held against the levels, the deadline
 * and the slots, and runs, waits or is refused; nothing is decided twice.
 */
import {ErrorCode} from '@egretspoke/protocol';
import {
	closeLevelWindow,
	countUse,
	createAdmissionLevel,
	highestLevel,
	isWindowOver,
	levelWindow,
	noteArrival,
	type AdmissionLevel,
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
	waitsShort,
	type QueueEntry,
} from './admission-queue.js';
import {
	createFairShare,
	forgiveDemand,
	isOverShareNumber,
	settleShares,
	type FairShare,
} from './fair-share.js';
import {runningOf} from './operation-durations.js';
import type {
	AdmissionContext,
	AdmissionDecision,
	AdmissionPolicy,
	QueueDecision,
	CallFacts,
	RefusalDecision,
} from './policy.js';
import {numberArrival, unknownDuration} from './request-numbering.js';
import {createSlotTable} from './slot-table.js';

/** Milliseconds after which long work that waits beside free slots is looked at again. */
const heldWake = 100;

/** Creates the admission of one target. */
export function createAdmission(context: AdmissionContext): AdmissionPolicy {
	const options = createAdmissionOptions(context);
	const slots = createSlotTable(context, options);
	const queue = createAdmissionQueue();
	let started: {level: AdmissionLevel; shares: FairShare} | undefined;
	let queueDelay = 0;

	const serviceTime = () => slots.durations.average || unknownDuration;

	/** Brings the measures to this instant; to be called first. */
	const advance = (now: number) => {
		started ??= {
			level: createAdmissionLevel(now),
			shares: createFairShare(now),
		};
		countUse(started.level, slots.running(), now);
		slots.advance(now);
		if (isWindowOver(started.level, serviceTime(), now)) {
			const target = {
				limit: slots.limit(),
				waiting: waitingEntries(queue),
				serviceTime: serviceTime(),
			};
			closeLevelWindow(started.level, target, now);
			settleShares(started.shares, now);
		}

		return started;
	};

	/** From when on the queue counts as standing. */
	const standingFrom = () =>
		options.hasQueueTime && queue.standingSince !== undefined
			? queue.standingSince + levelWindow(serviceTime())
			: Number.POSITIVE_INFINITY;

	const mayRunLong = (rank: number) =>
		slots.mayRunLong(rank, (other) => shortWaiting(queue, other));

	const describeSlots = () => `${slots.running()} of ${slots.limit()} slots`;

	const refuse = (code: ErrorCode, reason: string): RefusalDecision => {
		const {level} = started!;
		level.refused++;
		const retryAfter = options.comeBack({
			waiting: lengthOf(queue),
			refused: level.refused + level.refusedBefore,
			drainRate: slots.limit() / serviceTime(),
			serviceTime: serviceTime(),
		});
		return {kind: 'refuse', code, reason, retryAfter};
	};

	/** Refuses a request that was counted for its caller. */
	const refuseCounted = (call: CallFacts, code: ErrorCode, reason: string) => {
		forgive(call);
		return refuse(code, reason);
	};

	const forgive = (call: CallFacts) => {
		if (options.hasFairShare && call.priority === undefined) {
			forgiveDemand(started!.shares, call);
		}
	};

	const refuseByLevel = (
		call: CallFacts,
		priority: number,
		allowed: number,
	) => {
		const code = isOverShareNumber(priority)
			? ErrorCode.CallerOverShare
			: ErrorCode.LevelTooLow;
		return refuseCounted(
			call,
			code,
			`${priority} is above level ${Math.round(allowed)}`,
		);
	};

	const arrive = (call: CallFacts, now: number): AdmissionDecision => {
		const {level, shares} = advance(now);
		const {operation, deadline} = call;
		if (deadline <= now) {
			return refuse(ErrorCode.DeadlinePassed, 'arrived after its deadline');
		}

		const request = numberArrival(call, options, slots.durations, shares);
		const {priority, rank, isLong, expected, slotTime} = request;
		noteArrival(level, priority, slotTime);
		const below = options.levelBelow(operation, now);
		if (priority > below) {
			return refuseByLevel(call, priority, below);
		}

		const running = runningOf(slots.durations, operation);
		const latest = options.latestStart(deadline, expected, running);
		if (latest <= now) {
			return refuseCounted(
				call,
				ErrorCode.DeadlineInfeasible,
				`takes about ${Math.round(expected)} ms, ${Math.round(deadline - now)} ms are left`,
			);
		}

		const isNext = isLong
			? lengthOf(queue) === 0 && mayRunLong(rank)
			: !waitsShort(queue);
		if (isNext && slots.isFree()) {
			slots.begin(request);
			return {kind: 'dispatch', reason: describeSlots()};
		}

		if (priority > level.level) {
			return refuseByLevel(call, priority, level.level);
		}

		const ahead = slotTimeAhead(queue, priority, isLong) / slots.limit();
		if (options.hasFeasibility && now + ahead > latest) {
			return refuseCounted(
				call,
				ErrorCode.DeadlineInfeasible,
				`${Math.round(ahead)} ms of work are ahead of it`,
			);
		}

		const until = options.patienceOf(rank, latest, deadline, now);
		enqueue(queue, {
			call,
			rank,
			isLong,
			priority,
			slotTime,
			since: now,
			latest,
			until,
			isGone: false,
		});
		return {
			kind: 'wait',
			reason: `${describeSlots()}, ${lengthOf(queue)} wait`,
		};
	};

	/** When the oldest request over its share has outstayed in a queue that stands. */
	const overShareExpiry = (): number => {
		const oldest = oldestOverShare(queue)?.since;
		return oldest === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(standingFrom(), oldest + serviceTime());
	};

	/** The next request that is given up now. */
	const nextGivenUp = (now: number): QueueEntry | undefined => {
		const first = firstToExpire(queue);
		if (first && first.until <= now) {
			return first;
		}

		return overShareExpiry() <= now ? oldestOverShare(queue) : undefined;
	};

	const takeRefused = (now: number): QueueDecision[] => {
		const turns: QueueDecision[] = [];
		for (let entry = nextGivenUp(now); entry; entry = nextGivenUp(now)) {
			const {call, latest, since} = entry;
			takeById(queue, call.id);
			const code =
				latest <= now ? ErrorCode.DeadlineInfeasible : ErrorCode.QueueTimeout;
			const reason = `waited ${Math.round(now - since)} ms`;
			turns.push({id: call.id, ...refuseCounted(call, code, reason)});
		}

		return turns;
	};

	const takeDispatched = (now: number): QueueDecision[] => {
		const turns: QueueDecision[] = [];
		while (slots.isFree()) {
			const entry = takeNext(queue, mayRunLong);
			if (!entry) {
				break;
			}

			queueDelay = now - entry.since;
			slots.begin(entry);
			turns.push({
				id: entry.call.id,
				kind: 'dispatch',
				reason: `waited ${Math.round(queueDelay)} ms, ${describeSlots()}`,
			});
		}

		return turns;
	};

	return {
		arrive,
		withdraw: (id) =>
			options.hasCancellation && takeById(queue, id) !== undefined,
		finish(id, completion, now) {
			advance(now);
			const ended = slots.end(id, completion);
			if (ended && completion.result === 'shed') {
				forgive(ended);
			}
		},
		processQueue(now) {
			advance(now);
			return [...takeRefused(now), ...takeDispatched(now)];
		},
		wakeAt() {
			const first = firstToExpire(queue);
			if (!first) {
				return undefined;
			}

			const held = slots.isFree()
				? started!.level.countedUntil + heldWake
				: Number.POSITIVE_INFINITY;
			return Math.min(first.until, overShareExpiry(), held);
		},
		drain: () =>
			takeAll(queue).map(({call}) => ({
				id: call.id,
				kind: 'refuse',
				code: ErrorCode.Leaving,
				reason: 'the target is leaving',
				retryAfter: 0,
			})),
		report(now, operation) {
			const own = started?.level.level ?? highestLevel;
			const below =
				operation === undefined ? own : options.levelBelow(operation, now);
			return {
				inFlight: slots.running(),
				limit: slots.limit(),
				waiting: lengthOf(queue),
				queueDelay: lengthOf(queue) === 0 ? 0 : queueDelay,
				level: Math.min(own, Math.round(below)),
				serviceTime: slots.durations.average,
			};
		},
	};
}
