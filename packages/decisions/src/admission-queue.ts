/**
 * The requests that wait for a slot.
 *
 * Load pattern: a burst, or lasting overload. A queue bounded by length is too
 * short for a burst of short work and far too long for slow work: requests
 * wait until their callers have given up, and the slots run requests that no
 * client waits for. The bound is therefore time.
 *
 * Slots go by priority number, that is by class and then by share, so that
 * requests which expire here are those that the level refuses here and at
 * every other layer. In order of arrival each layer would refuse different
 * requests, and few whole requests would succeed. At equal priority the newest
 * request goes first, because it has the most time left (adaptive LIFO,
 * Maurer, "Fail at Scale", 2015).
 */
import {prioritiesPerClass} from './admission-level.js';
import {isOverSharePriority} from './fair-share.js';
import {
	createLazyHeap,
	peekItem,
	pushItem,
	type LazyHeap,
	type Removable,
} from './lazy-heap.js';
import type {CallFacts} from './policy.js';

/** A waiting request. */
export type QueueEntry = Removable & {
	call: CallFacts;
	/** The rank of its class. */
	rank: number;
	isLong: boolean;
	priority: number;
	since: number;
	/** The latest start at which it can still end before its deadline. */
	latestStart: number;
	/** When it is refused: at `latestStart`, or earlier when it has reached its maximum wait. */
	expiresAt: number;
	/** Its expected slot time, in milliseconds. */
	slotTime: number;
};

/** The totals of the waiting requests of one class. */
type ClassSum = {shortTime: number; longTime: number; shortCount: number};

/** The queue of one target. */
export type AdmissionQueue = {
	/** Requests within and over their caller's share, each in order of arrival. */
	withinShare: Map<string, QueueEntry>;
	overShare: Map<string, QueueEntry>;
	shortByPriority: LazyHeap<QueueEntry>;
	longByPriority: LazyHeap<QueueEntry>;
	byExpiry: LazyHeap<QueueEntry>;
	/** Totals by class rank; the last entry is for requests over their caller's share. */
	sums: ClassSum[];
	/**
	 * Since when the queue has not been empty; undefined while it is. Once it
	 * has stood for a whole window (CoDel, Nichols & Jacobson 2012), waiting no
	 * longer smooths a burst but only delays all requests. Requests over their
	 * caller's share, which get no slot while others wait, are then refused
	 * after one service time.
	 */
	standingSince: number | undefined;
};

/**
 * The maximum wait at one layer of a request that isn't essential, as a ratio
 * of its remaining time; a quarter allows four layers to queue it.
 */
const maxWaitShare = 1 / 4;
/** The index of requests over their caller's share. */
const overShareClass = 3;

/** Creates an empty queue. */
export function createAdmissionQueue(): AdmissionQueue {
	return {
		withinShare: new Map(),
		overShare: new Map(),
		shortByPriority: createLazyHeap(hasPriorityOver),
		longByPriority: createLazyHeap(hasPriorityOver),
		byExpiry: createLazyHeap((left, right) => left.expiresAt < right.expiresAt),
		sums: Array.from({length: overShareClass + 1}, () => ({
			shortTime: 0,
			longTime: 0,
			shortCount: 0,
		})),
		standingSince: undefined,
	};
}

/**
 * When a waiting request expires. An essential request may wait until its
 * latest start, others only for `maxWaitShare` of their remaining time.
 */
export function queueExpiry(
	rank: number,
	latestStart: number,
	deadline: number,
	now: number,
): number {
	return rank === 0
		? latestStart
		: Math.min(latestStart, now + (deadline - now) * maxWaitShare);
}

/** The number of waiting requests. */
export function queueLength({withinShare, overShare}: AdmissionQueue): number {
	return withinShare.size + overShare.size;
}

/** All waiting requests in order of arrival; those over their caller's share come last. */
export function* waitingEntries({
	withinShare,
	overShare,
}: AdmissionQueue): Generator<QueueEntry> {
	yield* withinShare.values();
	yield* overShare.values();
}

/** Adds a request. */
export function enqueue(queue: AdmissionQueue, added: QueueEntry): void {
	tableOf(queue, added).set(added.call.id, added);
	queue.standingSince ??= added.since;
	count(queue, added, 1);
	const live = queueLength(queue);
	pushItem(queue.byExpiry, added, live);
	pushItem(
		added.isLong ? queue.longByPriority : queue.shortByPriority,
		added,
		live,
	);
}

/** Removes a request; returns undefined when it isn't waiting. */
export function removeById(
	queue: AdmissionQueue,
	id: string,
): QueueEntry | undefined {
	const entry = queue.withinShare.get(id) ?? queue.overShare.get(id);
	if (entry) {
		removeEntry(queue, entry);
	}

	return entry;
}

/** Removes and returns all waiting requests, in the order of `waitingEntries`. */
export function removeAll(queue: AdmissionQueue): QueueEntry[] {
	const entries = [...waitingEntries(queue)];
	for (const entry of entries) {
		removeEntry(queue, entry);
	}

	return entries;
}

/** The request that expires first. */
export function firstToExpire(queue: AdmissionQueue): QueueEntry | undefined {
	return peekItem(queue.byExpiry);
}

/** The oldest request that is over its caller's share. */
export function oldestOverShare({
	overShare,
}: AdmissionQueue): QueueEntry | undefined {
	const [oldest] = overShare.values();
	return oldest;
}

/** Removes and returns the request that gets the next slot. */
export function dequeue(
	queue: AdmissionQueue,
	mayRunLong: (rank: number) => boolean,
): QueueEntry | undefined {
	const short = peekItem(queue.shortByPriority);
	const long = peekItem(queue.longByPriority);
	const isLongFirst =
		long !== undefined &&
		!(short && hasPriorityOver(short, long)) &&
		mayRunLong(long.rank);
	const entry = isLongFirst ? long : short;
	if (entry) {
		removeEntry(queue, entry);
	}

	return entry;
}

/** Whether a short request waits. */
export function hasShortWaiting(queue: AdmissionQueue): boolean {
	return peekItem(queue.shortByPriority) !== undefined;
}

/** The number of waiting short requests of the class. */
export function shortWaitingCount(queue: AdmissionQueue, rank: number): number {
	return queue.sums[rank]?.shortCount ?? 0;
}

/**
 * The slot time of requests that wait in the same or a higher class. Long
 * requests are not counted for a short one, because they don't delay it.
 */
export function slotTimeAhead(
	queue: AdmissionQueue,
	priority: number,
	isLong: boolean,
): number {
	let sum = 0;
	for (let index = 0; index <= classOf(priority); index++) {
		const {shortTime, longTime} = queue.sums[index]!;
		sum += isLong ? shortTime + longTime : shortTime;
	}

	return sum;
}

function hasPriorityOver(left: QueueEntry, right: QueueEntry): boolean {
	return left.priority === right.priority
		? left.since > right.since
		: left.priority < right.priority;
}

function classOf(priority: number): number {
	return isOverSharePriority(priority)
		? overShareClass
		: Math.floor(priority / prioritiesPerClass);
}

function tableOf(
	queue: AdmissionQueue,
	{priority}: QueueEntry,
): Map<string, QueueEntry> {
	return isOverSharePriority(priority) ? queue.overShare : queue.withinShare;
}

function count(
	queue: AdmissionQueue,
	{priority, isLong, slotTime}: QueueEntry,
	change: 1 | -1,
): void {
	const sum = queue.sums[classOf(priority)]!;
	if (isLong) {
		sum.longTime += change * slotTime;
	} else {
		sum.shortTime += change * slotTime;
		sum.shortCount += change;
	}
}

function removeEntry(queue: AdmissionQueue, entry: QueueEntry): void {
	entry.isRemoved = true;
	tableOf(queue, entry).delete(entry.call.id);
	count(queue, entry, -1);
	if (queueLength(queue) === 0) {
		queue.standingSince = undefined;
		for (const sum of queue.sums) {
			sum.shortTime = 0;
			sum.longTime = 0;
		}
	}
}
