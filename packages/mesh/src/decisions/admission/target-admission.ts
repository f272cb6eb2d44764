/**
 * Admission control for one target: decides whether a request runs, waits or is
 * refused.
 *
 * Load pattern: a burst above what the target can run at once, or more requests
 * a second than it accepts. A saturated target may stop answering, and work in
 * its own queue can't be withdrawn or reordered. So no more requests are handed
 * over than it runs at once and accepts, and the rest is queued here or refused.
 */

import type {Bulkhead} from './bulkhead.js';
import type {RateLimiter} from './rate-limiter.js';

/** The properties of a request that admission depends on. */
export type AdmissionRequest = {
	/** It is a call of a running request, or a new request that makes no calls. */
	isNearCompletion: boolean;
	/** 0 is the highest priority. */
	priority: number;
	/** The maximum time that it may wait here, in milliseconds; 0 if it runs at once or not at all. */
	maxWait: number;
	/** Absent if its slots aren't counted by route. */
	route?: string;
};

type Waiting<T> = {
	request: AdmissionRequest;
	item: T;
	expiresAt: number;
	isGone: boolean;
};

/** The result of offering a request. */
export type AdmissionDecision = 'run' | 'wait' | 'refuse';

/** Admission control of one target; times are in milliseconds of the steady clock. */
export type TargetAdmission<T> = {
	/**
	 * Decides about a request; one that is to wait is queued. A request that
	 * can't run within its maximum wait is refused immediately, so that its
	 * caller can still try elsewhere.
	 */
	offer(request: AdmissionRequest, item: T, now: number): AdmissionDecision;
	/** Records that a running request has ended; its duration is undefined when it doesn't reflect the target's speed. */
	finish(duration: number | undefined, route?: string): void;
	/** Removes the next request to run from the queue; undefined when none waits or no slot is free. */
	next(now: number): T | undefined;
	/** Removes the requests whose maximum wait has passed. */
	expire(now: number): T[];
	/** Removes a request from the queue; false when it isn't queued. */
	withdraw(item: T): boolean;
	/** Removes all queued requests. */
	clear(): T[];
	/** Sets how many requests may run at once. */
	setLimit(concurrencyLimit: number): void;
	/** The work offered since the last call, in milliseconds that the target needs for it at full use. */
	takeArrivals(): number;
	/** The estimated wait of a new request, in milliseconds. */
	expectedWait(now: number): number;
	running(): number;
	waiting(): number;
	limit(): number;
};

/** The rate limit of the target. */
export type AdmissionRate = Pick<RateLimiter, 'perSecond' | 'waitTime'>;

const unlimitedRate: AdmissionRate = {
	perSecond: () => Number.POSITIVE_INFINITY,
	waitTime: () => 0,
};

/** The weight of a new duration in the moving average, which covers about the last 20. */
const durationWeight = 0.05;
/** The duration that is assumed before any request has ended, in milliseconds. */
const initialDuration = 30;
const millisecondsPerSecond = 1000;

/** Creates the admission control of a target that runs up to `concurrencyLimit` requests at once. */
export function createTargetAdmission<T>(
	concurrencyLimit: number,
	rate: AdmissionRate = unlimitedRate,
	bulkhead?: Bulkhead,
): TargetAdmission<T> {
	let limit = concurrencyLimit;
	let running = 0;
	let waitingCount = 0;
	let meanDuration = initialDuration;
	let offered = 0;
	const ranks: Array<Array<Waiting<T>>> = [];
	const entries = new Map<T, Waiting<T>>();

	const remove = (entry: Waiting<T>) => {
		entry.isGone = true;
		entries.delete(entry.item);
		waitingCount--;
	};

	const timePerSlot = () => meanDuration / limit;
	const timePerToken = () => millisecondsPerSecond / rate.perSecond();

	const waitBehind = (ahead: number, now: number) =>
		Math.max(
			(ahead + 1) * timePerSlot(),
			rate.waitTime(now) + ahead * timePerToken(),
		);

	const hasRoom = (now: number) => running < limit && rate.waitTime(now) === 0;

	const startRun = ({route}: AdmissionRequest) => {
		running++;
		if (route !== undefined) {
			bulkhead?.recordStart(route);
		}
	};

	/** The first waiting request, in the order of the queues, that is eligible. */
	const findFirst = (
		isEligible: (request: AdmissionRequest) => boolean,
	): Waiting<T> | undefined => {
		for (const queue of ranks) {
			while (queue?.[0]?.isGone) {
				queue.shift();
			}

			const entry = queue?.find(
				({isGone, request}) => !isGone && isEligible(request),
			);
			if (entry) {
				return entry;
			}
		}

		return undefined;
	};

	/** Undefined if all routes that wait have their shares; then the first one runs, so that no slot stays free. */
	const findWithinShare = (): Waiting<T> | undefined => {
		if (!bulkhead) {
			return undefined;
		}

		const overShare = new Map<string, boolean>();
		return findFirst(({route = ''}) => {
			let isOver = overShare.get(route);
			if (isOver === undefined) {
				isOver = bulkhead.isOverShare(route, limit);
				overShare.set(route, isOver);
			}

			return !isOver;
		});
	};

	const countAhead = (rank: number): number => {
		let ahead = 0;
		for (let index = 0; index <= rank; index++) {
			ahead += ranks[index]?.length ?? 0;
		}

		return ahead;
	};

	return {
		offer(request, item, now) {
			const {route} = request;
			if (route !== undefined) {
				bulkhead?.recordOffer(route);
			}

			if (waitingCount === 0 && hasRoom(now)) {
				offered++;
				startRun(request);
				return 'run';
			}

			// A request that isn't to wait here is sent to another target, so it is no demand for this one.
			offered += request.maxWait > 0 ? 1 : 0;
			const rank = rankOf(request);
			if (waitBehind(countAhead(rank), now) > request.maxWait) {
				return 'refuse';
			}

			const entry = {
				request,
				item,
				expiresAt: now + request.maxWait,
				isGone: false,
			};
			(ranks[rank] ??= []).push(entry);
			entries.set(item, entry);
			waitingCount++;
			return 'wait';
		},
		finish(duration, route) {
			running--;
			if (route !== undefined) {
				bulkhead?.recordEnd(route, duration);
			}

			if (duration !== undefined) {
				meanDuration += durationWeight * (duration - meanDuration);
			}
		},
		next(now) {
			if (waitingCount === 0 || !hasRoom(now)) {
				return undefined;
			}

			const entry = findWithinShare() ?? findFirst(() => true);
			if (entry) {
				remove(entry);
				startRun(entry.request);
			}

			return entry?.item;
		},
		expire(now) {
			const expired: T[] = [];
			if (waitingCount === 0) {
				return expired;
			}

			for (const [index, queue] of ranks.entries()) {
				for (const entry of queue ?? []) {
					if (!entry.isGone && entry.expiresAt < now) {
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
		setLimit(concurrencyLimit) {
			limit = concurrencyLimit;
		},
		takeArrivals() {
			const work = offered * Math.max(timePerSlot(), timePerToken());
			offered = 0;
			return work;
		},
		expectedWait: (now) =>
			waitingCount === 0 ? 0 : waitBehind(waitingCount, now),
		running: () => running,
		waiting: () => waitingCount,
		limit: () => limit,
	};
}

/**
 * The position of a request's queue; each queue is in order of arrival. First
 * come calls of requests that already run and new requests that make no further
 * calls, then other new requests by priority.
 */
function rankOf({isNearCompletion, priority}: AdmissionRequest): number {
	return isNearCompletion ? 0 : priority + 1;
}
