/**
 * The requests that wait for a slot, by class.
 *
 * Load pattern: a burst, and then overload that stays. A queue bounded by
 * length is too short for a burst of short work and far too long for slow
 * work: requests wait until their callers have gone, and every slot serves the
 * dead; one notices full slots, a constant queue and hardly a whole answer.
 * So the bound is time. While the queue empties now and then, a request may
 * wait as long as its deadline allows. Once the queue has stood for a whole
 * window (CoDel, Nichols & Jacobson 2012), waiting no longer smooths a burst
 * but only delays everybody: then a request other than an essential one waits
 * at most one service time, and the newest goes first, since it has the most
 * time left (adaptive LIFO, Maurer, "Fail at Scale", 2015).
 *
 * A slot goes to the highest class that waits, within a class to short work
 * before long work that may not have a slot yet.
 */
import {
	peekExpiring,
	popDue,
	pushExpiring,
	sweepGone,
	type Expiring,
} from './expiry-heap.js';
import type {CallFacts} from './policy.js';

/** A request that waits. */
export type QueueEntry = Expiring & {
	call: CallFacts;
	rank: number;
	isLong: boolean;
	priority: number;
	since: number;
	/** Slot time that it will take. */
	slotTime: number;
	previous: QueueEntry | undefined;
	next: QueueEntry | undefined;
};

type QueueList = {
	oldest: QueueEntry | undefined;
	newest: QueueEntry | undefined;
	length: number;
};

/** The queue of one target. */
export type AdmissionQueue = {
	byId: Map<string, QueueEntry>;
	/** Short and long work of each class rank. */
	lists: Array<{short: QueueList; long: QueueList; slotTime: number}>;
	heap: QueueEntry[];
	/** The slot time of all that waits. */
	slotTime: number;
	/** Since when the queue hasn't been empty; undefined while it is. */
	standingSince: number | undefined;
};

/** Creates an empty queue for so many classes. */
export function createAdmissionQueue(classes: number): AdmissionQueue {
	const list = (): QueueList => ({
		oldest: undefined,
		newest: undefined,
		length: 0,
	});
	return {
		byId: new Map(),
		lists: Array.from({length: classes}, () => ({
			short: list(),
			long: list(),
			slotTime: 0,
		})),
		heap: [],
		slotTime: 0,
		standingSince: undefined,
	};
}

/** Adds a request. */
export function enqueue(
	queue: AdmissionQueue,
	entry: Omit<QueueEntry, 'previous' | 'next' | 'isGone'>,
): void {
	const added: QueueEntry = {
		...entry,
		isGone: false,
		previous: undefined,
		next: undefined,
	};
	const list = listOf(queue, added);
	added.previous = list.newest;
	if (list.newest) {
		list.newest.next = added;
	} else {
		list.oldest = added;
	}

	list.newest = added;
	list.length++;
	queue.byId.set(added.call.id, added);
	queue.slotTime += added.slotTime;
	queue.lists[added.rank]!.slotTime += added.slotTime;
	queue.standingSince ??= added.since;
	pushExpiring(queue.heap, added);
	sweepGone(queue.heap, queue.byId.size);
}

/** Takes a request out; undefined when it isn't waiting. */
export function takeById(
	queue: AdmissionQueue,
	id: string,
): QueueEntry | undefined {
	const entry = queue.byId.get(id);
	if (entry) {
		removeEntry(queue, entry);
	}

	return entry;
}

/** Takes the next request whose time in the queue is over. */
export function takeExpired(
	queue: AdmissionQueue,
	now: number,
): QueueEntry | undefined {
	const entry = popDue(queue.heap, now);
	if (entry) {
		removeEntry(queue, entry);
	}

	return entry;
}

/** When the first request's time is over. */
export function firstExpiry(queue: AdmissionQueue): number | undefined {
	return peekExpiring(queue.heap)?.until;
}

/** Takes the request that gets the next slot. */
export function takeNext(
	queue: AdmissionQueue,
	isNewestFirst: boolean,
	mayRunLong: (rank: number) => boolean,
): QueueEntry | undefined {
	for (const [rank, {short, long}] of queue.lists.entries()) {
		const shortEntry = isNewestFirst ? short.newest : short.oldest;
		const longEntry = isNewestFirst ? long.newest : long.oldest;
		const entry =
			longEntry && mayRunLong(rank)
				? pickFirst(shortEntry, longEntry, isNewestFirst)
				: shortEntry;
		if (entry) {
			removeEntry(queue, entry);
			return entry;
		}
	}

	return undefined;
}

/** The slot time of what waits in the class and those above it. */
export function slotTimeAhead(queue: AdmissionQueue, rank: number): number {
	let sum = 0;
	for (let other = 0; other <= rank; other++) {
		sum += queue.lists[other]?.slotTime ?? 0;
	}

	return sum;
}

/** The oldest request of the class. */
export function oldestOf(
	queue: AdmissionQueue,
	rank: number,
): QueueEntry | undefined {
	const {short, long} = queue.lists[rank]!;
	if (!short.oldest || !long.oldest) {
		return short.oldest ?? long.oldest;
	}

	return short.oldest.since <= long.oldest.since ? short.oldest : long.oldest;
}

/** How many short requests of the class wait. */
export function shortWaiting(queue: AdmissionQueue, rank: number): number {
	return queue.lists[rank]?.short.length ?? 0;
}

function pickFirst(
	shortEntry: QueueEntry | undefined,
	longEntry: QueueEntry,
	isNewestFirst: boolean,
): QueueEntry {
	if (!shortEntry) {
		return longEntry;
	}

	const isShortOlder = shortEntry.since <= longEntry.since;
	return isShortOlder === isNewestFirst ? longEntry : shortEntry;
}

function listOf(queue: AdmissionQueue, {rank, isLong}: QueueEntry): QueueList {
	const lists = queue.lists[rank]!;
	return isLong ? lists.long : lists.short;
}

function removeEntry(queue: AdmissionQueue, entry: QueueEntry): void {
	const list = listOf(queue, entry);
	if (entry.previous) {
		entry.previous.next = entry.next;
	} else {
		list.oldest = entry.next;
	}

	if (entry.next) {
		entry.next.previous = entry.previous;
	} else {
		list.newest = entry.previous;
	}

	list.length--;
	entry.isGone = true;
	entry.previous = undefined;
	entry.next = undefined;
	queue.byId.delete(entry.call.id);
	queue.slotTime -= entry.slotTime;
	queue.lists[entry.rank]!.slotTime -= entry.slotTime;
	if (queue.byId.size === 0) {
		queue.slotTime = 0;
		queue.standingSince = undefined;
	}
}
