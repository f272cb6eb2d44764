/**
 * The requests that are running at the local target. Its calls get their class,
 * deadline and attempts from here and not from what the target states.
 *
 * A target that forwards no headers, or that retries three times itself, would
 * otherwise start every downstream call with fresh attempts and a fresh
 * deadline, and the deepest service would get more calls than there are
 * requests at the top.
 */
import type {RequestClass} from '@egretspoke/protocol';
import {createLinkedAbort, type LinkedAbort} from './linked-abort.js';

/** A request that is running at the target. */
export type RunningRequest = {
	id: string;
	requestClass: RequestClass;
	/** The caller that started the chain; fair shares are counted by it at every layer. */
	caller: string;
	/** Monotonic milliseconds. */
	deadline: number;
	/** Attempts that downstream calls may still use, beyond the first attempt of each call. */
	spareAttempts: number;
	/** How often each downstream call was made; repeats draw on the pool. */
	callsMade: Map<string, number>;
	/** Aborts when its caller gives up. */
	signal: AbortSignal;
};

/**
 * A running request with the state that its downstream calls share: they draw
 * their attempts from one pool and end with the request, because otherwise each
 * layer would multiply the load on the next.
 */
type SharedRun = RunningRequest & {
	/** Runs in progress; more than one when a chain calls its own service again. */
	count: number;
	/** Aborts the downstream calls. Created with the first one, because most requests make none. */
	downstreamAbort?: LinkedAbort;
};

/**
 * What a downstream call receives from its parent request. The class is the one
 * assigned at the first entry: work for a deferrable request never gets a
 * higher class, and a payment isn't refused half-way because of a look-up that
 * would count as normal by itself.
 */
export type ChainAllocation = {
	caller: string;
	requestClass: RequestClass;
	deadline: number;
	attempts: number;
	signal: AbortSignal;
	/** Returns unused attempts to the pool. */
	returnUnused(attempts: number): void;
};

/** The table of running requests. */
export type RunningRequests = {
	add(request: RunningRequest): void;
	remove(id: string): void;
	/**
	 * Allocates to a call that names the request it serves. Undefined when no such
	 * request is running here; `spent` when its attempts are used up.
	 */
	allocate(
		id: string,
		call: {service: string; operation: string},
	): ChainAllocation | 'spent' | undefined;
	has(id: string): boolean;
	size(): number;
};

/** Creates an empty table. */
export function createRunningRequests(): RunningRequests {
	const running = new Map<string, SharedRun>();
	return {
		add(request) {
			const existing = running.get(request.id);
			if (existing) {
				existing.count++;
			} else {
				running.set(request.id, {...request, count: 1});
			}
		},
		remove(id) {
			const existing = running.get(id);
			if (existing && --existing.count === 0) {
				existing.downstreamAbort?.abort();
				existing.downstreamAbort?.release();
				running.delete(id);
			}
		},
		allocate(id, call) {
			const parent = running.get(id);
			if (!parent) {
				return undefined;
			}

			parent.downstreamAbort ??= createLinkedAbort(parent.signal);
			const attempts = allocateAttempts(
				parent,
				`${call.service} ${call.operation}`,
			);
			if (attempts === 0) {
				return 'spent';
			}

			return {
				caller: parent.caller,
				requestClass: parent.requestClass,
				deadline: parent.deadline,
				attempts,
				signal: parent.downstreamAbort.signal,
				returnUnused(unused) {
					parent.spareAttempts += unused;
				},
			};
		},
		has: (id) => running.has(id),
		size: () => running.size,
	};
}

/**
 * The first call of an operation is free. A repeat of it, as made by a target
 * with its own retries, is charged to the pool like any other retry. A first
 * call receives half of what is left, so that its siblings get some too.
 */
function allocateAttempts(parent: RunningRequest, operation: string): number {
	const made = parent.callsMade.get(operation) ?? 0;
	parent.callsMade.set(operation, made + 1);
	if (made > 0) {
		if (parent.spareAttempts < 1) {
			return 0;
		}

		parent.spareAttempts--;
		return 1;
	}

	const spare = Math.ceil(parent.spareAttempts / 2);
	parent.spareAttempts -= spare;
	return 1 + spare;
}
