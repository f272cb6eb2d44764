/**
 * The requests that wait for a slot.
 *
 * Load pattern: a burst, and then overload that stays. A queue bounded by
 * length is too short for a burst of short work and far too long for slow
 * work: requests wait until their callers have gone, and every slot serves the
 * dead; one notices full slots, a constant queue and hardly a whole answer.
 * So the bound is time. An essential request waits as long as it can still end
 * in time; any other for a quarter of the time that it has left, so that four
 * layers may each keep it waiting. Once the queue has stood for a whole window
 * (CoDel, Nichols & Jacobson 2012), waiting no longer smooths a burst but only
 * delays everybody; then what is over its caller's share, and so never gets a
 * slot while anything else waits, goes after one service time.
 *
 * Slots go by priority number, and so by class, then by share: what is refused
 * for want of time is then the same as what the level refuses, here and at
 * every other layer. In the order of arrival each layer would refuse other
 * requests, and few would be whole. At the same number the newest goes first,
 * since it has the most time left (adaptive LIFO, Maurer, "Fail at Scale",
 * 2015).
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

/** A request that waits. */
export type QueueEntry = Removable & {
	call: CallFacts;
	/** Its class. */
	rank: number;
	isLong: boolean;
	priority: number;
	since: number;
	/** The latest start from which it can end in time. */
	latestStart: number;
	/** When it is given up: at its latest start, or earlier when its patience is over. */
	expiresAt: number;
	/** Slot time that it will take. */
	slotTime: number;
};

/** What waits in one class. */
type ClassSum = {shortTime: number; longTime: number; shortCount: number};

/** The queue of one target. */
export type AdmissionQueue = {
	/** What is within its caller's share and what is over it, in the order of arrival. */
	withinShare: Map<string, QueueEntry>;
	overShare: Map<string, QueueEntry>;
	shortByPriority: LazyHeap<QueueEntry>;
	longByPriority: LazyHeap<QueueEntry>;
	byExpiry: LazyHeap<QueueEntry>;
	/** By class rank, and last what is over its caller's share. */
	sums: ClassSum[];
	/** Since when the queue hasn't been empty; undefined while it is. */
	standingSince: number | undefined;
};

/** The part of its time that a request other than an essential one waits at one layer. */
const maxWaitShare = 1 / 4;
/** The class index of what is over its caller's share. */
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

/** When a request that may start until `latest` is given up. */
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

/** How many wait. */
export function queueLength({withinShare, overShare}: AdmissionQueue): number {
	return withinShare.size + overShare.size;
}

/** All that wait, in the order of arrival, what is over its caller's share last. */
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

/** Takes a request out; undefined when it isn't waiting. */
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

/** Takes all that wait, in the order of arrival. */
export function removeAll(queue: AdmissionQueue): QueueEntry[] {
	const entries = [...waitingEntries(queue)];
	for (const entry of entries) {
		removeEntry(queue, entry);
	}

	return entries;
}

/** The request that is given up first. */
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

/** Takes the request that gets the next slot. */
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

/** Whether any short request waits. */
export function hasShortWaiting(queue: AdmissionQueue): boolean {
	return peekItem(queue.shortByPriority) !== undefined;
}

/** How many short requests of the class wait. */
export function shortWaitingCount(queue: AdmissionQueue, rank: number): number {
	return queue.sums[rank]?.shortCount ?? 0;
}

/** The slot time of what waits in the request's class and those before it; long work doesn't keep short work waiting. */
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
