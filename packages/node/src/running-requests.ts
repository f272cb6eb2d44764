/**
 * The requests that run at this node's own target. A call that the target
 * makes deeper names the request it serves; its class, deadline and attempts
 * come from here and not from what the target says.
 *
 * What goes wrong without it: a target that forwards no headers, or retries
 * three times by itself, starts every deeper call with fresh attempts and a
 * fresh deadline, and each layer multiplies the load on the next. One notices
 * more calls at the deepest service than requests at the top. Here all calls
 * of one running request draw from one pool, and end with it.
 */
import type {RequestClass} from '@egretspoke/protocol';
import {createLinkedAbort, type LinkedAbort} from './linked-abort.js';

/** A request while its target runs it. */
export type RunningRequest = {
	id: string;
	requestClass: RequestClass;
	/** Who made the first call of the chain; fair shares are counted by it at every layer. */
	caller: string;
	/** Monotonic milliseconds. */
	deadline: number;
	/** Attempts beyond the first of each call that the calls below may still use. */
	spareAttempts: number;
	/** How often each deeper call may be made anew before its repeats draw on the pool. */
	callsMade: Map<string, number>;
	/** Aborts when its caller gives up. */
	signal: AbortSignal;
};

/** A running request with what its deeper calls share. */
type SharedRun = RunningRequest & {
	/** A chain that comes back to its own service runs here more than once at a time. */
	count: number;
	/** Made with the first deeper call: most requests make none. */
	downstreamAbort?: LinkedAbort;
};

/**
 * What a deeper call gets of its parent's. The class is the one stamped at the
 * first entry: work for a deferrable request is never raised, and a payment
 * isn't refused half-way for a look-up that counts as normal by itself.
 */
export type ChainAllocation = {
	caller: string;
	requestClass: RequestClass;
	deadline: number;
	attempts: number;
	signal: AbortSignal;
	/** Gives back attempts that weren't used. */
	returnUnused(attempts: number): void;
};

/** The table of running requests. */
export type RunningRequests = {
	add(request: RunningRequest): void;
	remove(id: string): void;
	/** Undefined when no such request runs here; `spent` when its attempts are. */
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
			const known = running.get(request.id);
			if (known) {
				known.count++;
			} else {
				running.set(request.id, {...request, count: 1});
			}
		},
		remove(id) {
			const known = running.get(id);
			if (known && --known.count === 0) {
				known.downstreamAbort?.abort();
				known.downstreamAbort?.release();
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
 * The first call of an operation is free; a repeat of it, which a target that
 * retries by itself makes, pays from the pool like any other retry. Half of
 * what is left goes with the call, so that its siblings have some too.
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
