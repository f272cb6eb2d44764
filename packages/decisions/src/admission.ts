/**
 * Admission at the target's node. An arriving request gets its priority
 * number, is checked against the downstream level, its deadline, the free
 * slots and the admission level, and then runs, waits or is refused. This
 * module only combines the others.
 */
import {ErrorCode} from '@egretspoke/protocol';
import {
	closeLevelWindow,
	createAdmissionLevel,
	isWindowOver,
	maxLevel,
	recordArrival,
	recordSlotTime,
	windowLength,
	type AdmissionLevel,
} from './admission-level.js';
import {createAdmissionOptions} from './admission-options.js';
import {
	createAdmissionQueue,
	dequeue,
	enqueue,
	firstToExpire,
	hasShortWaiting,
	oldestOverShare,
	queueLength,
	removeAll,
	removeById,
	shortWaitingCount,
	slotTimeAhead,
	waitingEntries,
	type QueueEntry,
} from './admission-queue.js';
import {
	createFairShare,
	isOverSharePriority,
	uncountDemand,
	updateShares,
	type FairShare,
} from './fair-share.js';
import {runningCountOf} from './operation-durations.js';
import type {
	AdmissionContext,
	AdmissionDecision,
	AdmissionPolicy,
	CallFacts,
	QueueDecision,
	RefusalDecision,
} from './policy.js';
import {defaultDuration, prioritizeRequest} from './request-priority.js';
import {createSlotTable} from './slot-table.js';

/** Milliseconds until waiting long requests are checked again while slots are free. */
const heldRecheckInterval = 100;

/** Creates the admission of one target. */
export function createAdmission(context: AdmissionContext): AdmissionPolicy {
	const options = createAdmissionOptions(context);
	const slots = createSlotTable(context, options);
	const queue = createAdmissionQueue();
	let started: {level: AdmissionLevel; shares: FairShare} | undefined;
	let queueDelay = 0;

	const serviceTime = () => slots.durations.average || defaultDuration;

	/** Updates the averages and the window to the current time. Must be called first. */
	const advance = (now: number) => {
		started ??= {
			level: createAdmissionLevel(now),
			shares: createFairShare(now),
		};
		recordSlotTime(started.level, slots.running(), now);
		slots.advance(now);
		if (isWindowOver(started.level, serviceTime(), now)) {
			const target = {
				limit: slots.limit(),
				waiting: waitingEntries(queue),
				serviceTime: serviceTime(),
			};
			closeLevelWindow(started.level, target, now);
			updateShares(started.shares, now);
		}

		return started;
	};

	/** From when on the queue counts as standing. */
	const standingQueueStart = () =>
		options.hasQueueTime && queue.standingSince !== undefined
			? queue.standingSince + windowLength(serviceTime())
			: Number.POSITIVE_INFINITY;

	const mayRunLong = (rank: number) =>
		slots.mayRunLong(rank, (other) => shortWaitingCount(queue, other));

	const describeSlots = () =>
		`${slots.running()} of ${slots.limit()} slots in use`;

	const refuse = (code: ErrorCode, reason: string): RefusalDecision => {
		const {level} = started!;
		level.refused++;
		const retryAfter = options.retryAfterTime({
			waiting: queueLength(queue),
			refused: level.refused + level.refusedInLastWindow,
			drainRate: slots.limit() / serviceTime(),
			serviceTime: serviceTime(),
		});
		return {kind: 'refuse', code, reason, retryAfter};
	};

	/** Refuses a request and removes it from its caller's demand. */
	const refuseAndUncount = (
		call: CallFacts,
		code: ErrorCode,
		reason: string,
	) => {
		uncount(call);
		return refuse(code, reason);
	};

	const uncount = (call: CallFacts) => {
		if (options.hasFairShare && call.priority === undefined) {
			uncountDemand(started!.shares, call);
		}
	};

	const refuseByLevel = (
		call: CallFacts,
		priority: number,
		allowed: number,
	) => {
		const code = isOverSharePriority(priority)
			? ErrorCode.CallerOverShare
			: ErrorCode.LevelTooLow;
		return refuseAndUncount(
			call,
			code,
			`priority ${priority} is above level ${Math.round(allowed)}`,
		);
	};

	const arrive = (call: CallFacts, now: number): AdmissionDecision => {
		const {level, shares} = advance(now);
		const {operation, deadline} = call;
		if (deadline <= now) {
			return refuse(ErrorCode.DeadlinePassed, 'arrived after its deadline');
		}

		const request = prioritizeRequest(call, options, slots.durations, shares);
		const {priority, rank, isLong, expected, slotTime} = request;
		recordArrival(level, priority, slotTime);
		const downstreamLevel = options.downstreamLevel(operation, now);
		if (priority > downstreamLevel) {
			return refuseByLevel(call, priority, downstreamLevel);
		}

		const running = runningCountOf(slots.durations, operation);
		const latestStart = options.latestStart(deadline, expected, running);
		if (latestStart <= now) {
			return refuseAndUncount(
				call,
				ErrorCode.DeadlineInfeasible,
				`expected to take ${Math.round(expected)} ms, but ${Math.round(deadline - now)} ms are left`,
			);
		}

		const isNext = isLong
			? queueLength(queue) === 0 && mayRunLong(rank)
			: !hasShortWaiting(queue);
		if (isNext && slots.isFree()) {
			slots.begin(request);
			return {kind: 'dispatch', reason: describeSlots()};
		}

		if (priority > level.level) {
			return refuseByLevel(call, priority, level.level);
		}

		const waitTime = slotTimeAhead(queue, priority, isLong) / slots.limit();
		if (options.hasFeasibility && now + waitTime > latestStart) {
			return refuseAndUncount(
				call,
				ErrorCode.DeadlineInfeasible,
				`${Math.round(waitTime)} ms of work are queued ahead of it`,
			);
		}

		const expiresAt = options.queueExpiry(rank, latestStart, deadline, now);
		enqueue(queue, {
			call,
			rank,
			isLong,
			priority,
			slotTime,
			since: now,
			latestStart,
			expiresAt,
			isRemoved: false,
		});
		return {
			kind: 'wait',
			reason: `${describeSlots()}, ${queueLength(queue)} waiting`,
		};
	};

	/** When the oldest request over its caller's share expires because the queue is standing. */
	const overShareExpiry = (): number => {
		const oldest = oldestOverShare(queue)?.since;
		return oldest === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(standingQueueStart(), oldest + serviceTime());
	};

	/** The next request that has expired. */
	const nextExpired = (now: number): QueueEntry | undefined => {
		const first = firstToExpire(queue);
		if (first && first.expiresAt <= now) {
			return first;
		}

		return overShareExpiry() <= now ? oldestOverShare(queue) : undefined;
	};

	const refuseExpired = (now: number): QueueDecision[] => {
		const decisions: QueueDecision[] = [];
		for (let entry = nextExpired(now); entry; entry = nextExpired(now)) {
			const {call, latestStart, since} = entry;
			removeById(queue, call.id);
			const code =
				latestStart <= now
					? ErrorCode.DeadlineInfeasible
					: ErrorCode.QueueTimeout;
			const reason = `waited ${Math.round(now - since)} ms`;
			decisions.push({id: call.id, ...refuseAndUncount(call, code, reason)});
		}

		return decisions;
	};

	const dispatchWaiting = (now: number): QueueDecision[] => {
		const decisions: QueueDecision[] = [];
		while (slots.isFree()) {
			const entry = dequeue(queue, mayRunLong);
			if (!entry) {
				break;
			}

			queueDelay = now - entry.since;
			slots.begin(entry);
			decisions.push({
				id: entry.call.id,
				kind: 'dispatch',
				reason: `waited ${Math.round(queueDelay)} ms, ${describeSlots()}`,
			});
		}

		return decisions;
	};

	return {
		arrive,
		withdraw: (id) =>
			options.hasCancellation && removeById(queue, id) !== undefined,
		finish(id, completion, now) {
			advance(now);
			const ended = slots.end(id, completion);
			if (ended && completion.result === 'shed') {
				uncount(ended);
			}
		},
		processQueue(now) {
			advance(now);
			return [...refuseExpired(now), ...dispatchWaiting(now)];
		},
		wakeAt() {
			const first = firstToExpire(queue);
			if (!first) {
				return undefined;
			}

			const recheckAt = slots.isFree()
				? started!.level.countedUntil + heldRecheckInterval
				: Number.POSITIVE_INFINITY;
			return Math.min(first.expiresAt, overShareExpiry(), recheckAt);
		},
		drain: () =>
			removeAll(queue).map(({call}) => ({
				id: call.id,
				kind: 'refuse',
				code: ErrorCode.Leaving,
				reason: 'the target is leaving',
				retryAfter: 0,
			})),
		report(now, operation) {
			const own = started?.level.level ?? maxLevel;
			const downstreamLevel =
				operation === undefined ? own : options.downstreamLevel(operation, now);
			return {
				inFlight: slots.running(),
				limit: slots.limit(),
				waiting: queueLength(queue),
				queueDelay: queueLength(queue) === 0 ? 0 : queueDelay,
				level: Math.min(own, Math.round(downstreamLevel)),
				serviceTime: slots.durations.average,
			};
		},
	};
}
