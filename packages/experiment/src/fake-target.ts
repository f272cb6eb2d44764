/**
 * A target of N slots. A request takes a connection as long as it is there and
 * a slot from its start to its end, also while it waits for calls of its own;
 * requests without a slot wait first in, first out. A request for which no
 * connection is left is refused before anything has run.
 */

/** A request at the target. */
export type TargetRequest = {
	/** Called when the job has its slot. */
	start(): void;
};

export type FakeTarget = {
	/** Takes the job in; false when no connection is left. */
	offer(targetRequest: TargetRequest): boolean;
	/** The job has ended or was cancelled, running or not; harmless when repeated. */
	release(targetRequest: TargetRequest): void;
	/** Connections open now or before: a job that needs a further one pays for it. */
	needsConnection(): boolean;
	/** How many jobs have ended with a slot. */
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
