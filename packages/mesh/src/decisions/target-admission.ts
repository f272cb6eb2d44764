/**
 * Admission at the node beside a target: what runs, what waits, what is
 * refused.
 *
 * Load pattern: a burst above what the target runs at once. A target that is
 * full may answer nothing any more, and work that it queues can't be taken
 * back or put in order. So no more is handed over than it runs at once, and
 * the rest waits here: calls of work that has already begun and new work that
 * needs no service after this one, then other new work by priority, in the order of arrival, and only as long as the wait
 * leaves time for the work. What can't be run in time is refused at once, so
 * that its caller can go elsewhere while there is still time.
 */

/** A request as admission sees it. */
export type AdmissionRequest = {
	/** It is a call of work that has begun, or new work that makes no calls. */
	isNearItsEnd: boolean;
	/** 0 is the highest. */
	priority: number;
	/** The longest it may wait here, in milliseconds. */
	patience: number;
};

type Waiting<T> = {
	request: AdmissionRequest;
	item: T;
	until: number;
	isGone: boolean;
};

/** What becomes of a request that is offered. */
export type AdmissionDecision = 'run' | 'wait' | 'refuse';

/** The admission of one target. */
export type TargetAdmission<T> = {
	offer(request: AdmissionRequest, item: T, now: number): AdmissionDecision;
	/** A request that ran has ended, after so many milliseconds; undefined when it says nothing of the target's speed. */
	finish(duration: number | undefined): void;
	/** Takes the next to run, if there is room. */
	next(): T | undefined;
	/** Takes those whose patience is over. */
	expire(now: number): T[];
	/** Takes one that waits out of the queue; false when it isn't waiting. */
	withdraw(item: T): boolean;
	/** Takes all that wait. */
	clear(): T[];
	setLimit(handedAtOnce: number): void;
	/** Milliseconds of work at full use that was offered since the last call. */
	takeArrivals(): number;
	/** Milliseconds that a new request would wait. */
	expectedWait(): number;
	running(): number;
	waiting(): number;
	limit(): number;
};

/** The weight of a new duration in the moving average: about the last 20. */
const durationWeight = 0.05;
/** Milliseconds assumed for a request before any has ended. */
const firstDuration = 30;

/** Creates the admission of a target that is handed so many requests at once. */
export function createTargetAdmission<T>(
	handedAtOnce: number,
): TargetAdmission<T> {
	let limit = handedAtOnce;
	let running = 0;
	let waitingCount = 0;
	let meanDuration = firstDuration;
	let offered = 0;
	const ranks: Array<Array<Waiting<T>>> = [];
	const entries = new Map<T, Waiting<T>>();

	const remove = (entry: Waiting<T>) => {
		entry.isGone = true;
		entries.delete(entry.item);
		waitingCount--;
	};

	const waitBehind = (ahead: number) => ((ahead + 1) * meanDuration) / limit;

	const countAhead = (rank: number): number => {
		let ahead = 0;
		for (let index = 0; index <= rank; index++) {
			ahead += ranks[index]?.length ?? 0;
		}

		return ahead;
	};

	return {
		offer(request, item, now) {
			offered++;
			if (running < limit && waitingCount === 0) {
				running++;
				return 'run';
			}

			const rank = rankOf(request);
			if (waitBehind(countAhead(rank)) > request.patience) {
				return 'refuse';
			}

			const entry = {
				request,
				item,
				until: now + request.patience,
				isGone: false,
			};
			(ranks[rank] ??= []).push(entry);
			entries.set(item, entry);
			waitingCount++;
			return 'wait';
		},
		finish(duration) {
			running--;
			if (duration !== undefined) {
				meanDuration += durationWeight * (duration - meanDuration);
			}
		},
		next() {
			if (running >= limit || waitingCount === 0) {
				return undefined;
			}

			for (const queue of ranks) {
				const entry = queue && takeFirst(queue);
				if (entry) {
					remove(entry);
					running++;
					return entry.item;
				}
			}

			return undefined;
		},
		expire(now) {
			const expired: T[] = [];
			if (waitingCount === 0) {
				return expired;
			}

			for (const [index, queue] of ranks.entries()) {
				for (const entry of queue ?? []) {
					if (!entry.isGone && entry.until < now) {
						remove(entry);
						expired.push(entry.item);
					}
				}

				ranks[index] = (queue ?? []).filter(({isGone}) => !isGone);
			}

			return expired;
		},
		withdraw(item) {
			const entry = entries.get(item);
			if (entry) {
				remove(entry);
			}

			return entry !== undefined;
		},
		clear() {
			const items = [...entries.keys()];
			entries.clear();
			ranks.length = 0;
			waitingCount = 0;
			return items;
		},
		setLimit(changed) {
			limit = changed;
		},
		takeArrivals() {
			const work = (offered * meanDuration) / limit;
			offered = 0;
			return work;
		},
		expectedWait: () => (waitingCount === 0 ? 0 : waitBehind(waitingCount)),
		running: () => running,
		waiting: () => waitingCount,
		limit: () => limit,
	};
}

/** The first that has not left otherwise. */
function takeFirst<T>(queue: Array<Waiting<T>>): Waiting<T> | undefined {
	for (let entry = queue.shift(); entry; entry = queue.shift()) {
		if (!entry.isGone) {
			return entry;
		}
	}

	return undefined;
}

function rankOf({isNearItsEnd, priority}: AdmissionRequest): number {
	return isNearItsEnd ? 0 : priority + 1;
}
