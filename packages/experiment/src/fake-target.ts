/**
 * A target of N slots. A request takes a connection as long as it is there and
 * a slot from its start to its end, also while it waits for calls of its own;
 * requests without a slot wait first in, first out. A request for which no
 * connection is left is refused before anything has run.
 */

/** A request at the target. */
export type Job = {
	/** Called when the job has its slot. */
	start(): void;
};

export type FakeTarget = {
	/** Takes the job in; false when no connection is left. */
	offer(job: Job): boolean;
	/** The job has ended or was cancelled, running or not; harmless when repeated. */
	release(job: Job): void;
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
	const waiting = new Set<Job>();
	const running = new Set<Job>();
	let completed = 0;
	let opened = 0;

	const fill = () => {
		for (const job of waiting) {
			if (running.size >= slots) {
				return;
			}

			waiting.delete(job);
			running.add(job);
			job.start();
		}
	};

	return {
		offer(job) {
			if (waiting.size + running.size >= connections) {
				return false;
			}

			waiting.add(job);
			opened = Math.max(opened, waiting.size + running.size);
			fill();
			return true;
		},
		release(job) {
			waiting.delete(job);
			if (running.delete(job)) {
				completed++;
				fill();
			}
		},
		needsConnection: () => waiting.size + running.size >= opened,
		completed: () => completed,
	};
}
