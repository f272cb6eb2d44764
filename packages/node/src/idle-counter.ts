/** Counts what is in progress, so that a planned stop can wait for its end. */

/** A count that can be waited on. */
export type IdleCounter = {
	enter(): void;
	leave(): void;
	/** Counts the work while it lasts. */
	track<T>(work: () => Promise<T>): Promise<T>;
	count(): number;
	/** Resolves when the count is nought; at once if it is so now. */
	whenIdle(): Promise<void>;
};

/** Creates a counter at nought. */
export function createIdleCounter(): IdleCounter {
	let inProgress = 0;
	let waiters: Array<() => void> = [];

	const leave = () => {
		inProgress--;
		if (inProgress > 0) {
			return;
		}

		for (const waiter of waiters) {
			waiter();
		}

		waiters = [];
	};

	return {
		enter() {
			inProgress++;
		},
		leave,
		async track(work) {
			inProgress++;
			try {
				return await work();
			} finally {
				leave();
			}
		},
		count: () => inProgress,
		async whenIdle() {
			if (inProgress > 0) {
				await new Promise<void>((resolve) => {
					waiters.push(resolve);
				});
			}
		},
	};
}
