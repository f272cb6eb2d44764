/**
 * Bounds what the open connections of a process make it hold, over all of its
 * listeners.
 *
 * Load pattern: clients open many connections, and on each send what never
 * becomes a request, or read no answers. Each stays within its own limits, but
 * together they take the memory and the descriptors of the VM, and the platform
 * kills the process with all requests on it. When the sum exceeds the limit, the
 * connection that holds most is closed first, so that ordinary ones go on.
 */
import type {Clock, Timer} from './clock.js';

/** Limits over all connections. */
export type ConnectionLimits = {
	/** Maximum estimated bytes that all connections hold together. */
	bytes: number;
	/** Maximum number of open connections. */
	connections: number;
};

/** For tests and benchmarks of other limits. */
export const noConnectionLimits: ConnectionLimits = {
	bytes: Number.POSITIVE_INFINITY,
	connections: Number.POSITIVE_INFINITY,
};

/** A connection as the budget sees it. */
export type BudgetedConnection = {
	/** Estimated bytes that it makes the process hold. */
	held(): number;
	/** Whether no request on it is in progress, so that closing it loses none. */
	isIdle(): boolean;
	/** Called at each check with the milliseconds since the one before, to enforce its own limits. */
	check(elapsed: number): void;
	/** Closes it at once, because all connections together exceed a limit. */
	close(): void;
};

/** The open connections of a process. */
export type ConnectionBudget = {
	/**
	 * Adds an open connection. If there are too many, the idle one that holds
	 * most is closed, or this one if none is idle. Returns a function that removes
	 * it once it is closed.
	 */
	add(connection: BudgetedConnection): () => void;
	/** A connection holds so many bytes more; the sum is checked at once when it may exceed the limit. */
	grow(bytes: number): void;
	/** Estimated bytes that all connections hold. */
	held(): number;
	/** Number of open connections. */
	size(): number;
	/** Number of connections that were closed because all together exceeded a limit. */
	closed(): number;
};

/** Options of a budget. */
export type ConnectionBudgetOptions = {
	clock: Clock;
	limits: ConnectionLimits;
	/** Called before each check of the sum. */
	onCheck?: () => void;
};

/** Milliseconds between two checks: what arrives in this time exceeds the limits at most. */
const checkInterval = 100;
/** Time that counts between two checks at most: what arrived while the process was suspended isn't read yet. */
const maxElapsed = 2 * checkInterval;

/** Creates a budget without connections. */
export function createConnectionBudget({
	clock,
	limits,
	onCheck = () => undefined,
}: ConnectionBudgetOptions): ConnectionBudget {
	/** In the order of their opening. */
	const connections = new Set<BudgetedConnection>();
	let timer: Timer | undefined;
	let checkedAt = 0;
	let closed = 0;
	/** Upper estimate of what all connections hold: the last sum and what has been added since. */
	let estimate = 0;

	const close = (connection: BudgetedConnection) => {
		connections.delete(connection);
		closed++;
		connection.close();
	};

	const sum = () => {
		let total = 0;
		for (const connection of connections) {
			total += connection.held();
		}

		return total;
	};

	/** Closes those that hold most until the others fit. */
	const closeLargest = () => {
		estimate = sum();
		if (estimate <= limits.bytes) {
			return;
		}

		const byHeld = [...connections]
			.map((connection) => ({connection, held: connection.held()}))
			.toSorted((one, other) => other.held - one.held);
		for (const {connection, held} of byHeld) {
			if (estimate <= limits.bytes) {
				return;
			}

			estimate -= held;
			close(connection);
		}
	};

	const check = () => {
		const now = clock.now();
		const elapsed = Math.min(now - checkedAt, maxElapsed);
		checkedAt = now;
		for (const connection of connections) {
			connection.check(elapsed);
		}

		onCheck();
		closeLargest();
		timer = undefined;
		watch();
	};

	const watch = () => {
		if (connections.size > 0 && !timer) {
			timer = clock.setTimer(checkInterval, check);
		}
	};

	/** The idle connection that holds most; of equal ones the oldest. */
	const findIdle = (): BudgetedConnection | undefined => {
		let largest: BudgetedConnection | undefined;
		let largestHeld = Number.NEGATIVE_INFINITY;
		for (const connection of connections) {
			const held = connection.held();
			if (held > largestHeld && connection.isIdle()) {
				largest = connection;
				largestHeld = held;
			}
		}

		return largest;
	};

	return {
		add(connection) {
			if (connections.size >= limits.connections) {
				const idle = findIdle();
				if (!idle) {
					closed++;
					connection.close();
					return () => undefined;
				}

				close(idle);
			}

			connections.add(connection);
			estimate += connection.held();
			if (!timer) {
				checkedAt = clock.now();
				watch();
			}

			return () => {
				connections.delete(connection);
			};
		},
		grow(bytes) {
			estimate += bytes;
			if (estimate > limits.bytes) {
				closeLargest();
			}
		},
		held: sum,
		size: () => connections.size,
		closed: () => closed,
	};
}
