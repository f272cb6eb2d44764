/**
 * A simulated target with N slots. A request occupies a connection from arrival
 * to end, and a slot from its start to its end, including the time in which it
 * waits for downstream calls. Requests without a slot are queued first in,
 * first out. A request that finds no free connection is refused before it runs.
 */

/** A request at the target. */
export type TargetRequest = {
	/** Called when a slot is assigned. */
	start(): void;
};

export type FakeTarget = {
	/** Accepts or queues a request; returns false if no connection is free. */
	offer(targetRequest: TargetRequest): boolean;
	/** Removes an ended or cancelled request, running or waiting; idempotent. */
	release(targetRequest: TargetRequest): void;
	/** Whether another request needs a new connection; connections opened before are reused. */
	needsConnection(): boolean;
	/** Number of requests that ended after they had a slot. */
	completed(): number;
};

/** Creates an idle target. */
export function createFakeTarget(
	slots: number,
	connections: number,
): FakeTarget {
	const waiting = new Set<TargetRequest>();
	const running = new Set<TargetRequest>();
	let completed = 0;
	let openedConnections = 0;

	const startWaiting = () => {
		for (const targetRequest of waiting) {
			if (running.size >= slots) {
				return;
			}

			waiting.delete(targetRequest);
			running.add(targetRequest);
			targetRequest.start();
		}
	};

	return {
		offer(targetRequest) {
			if (waiting.size + running.size >= connections) {
				return false;
			}

			waiting.add(targetRequest);
			openedConnections = Math.max(
				openedConnections,
				waiting.size + running.size,
			);
			startWaiting();
			return true;
		},
		release(targetRequest) {
			waiting.delete(targetRequest);
			if (running.delete(targetRequest)) {
				completed++;
				startWaiting();
			}
		},
		needsConnection: () => waiting.size + running.size >= openedConnections,
		completed: () => completed,
	};
}
