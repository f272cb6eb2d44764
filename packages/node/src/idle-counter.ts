/** Counts work in progress, so that a planned stop can wait for its end. */

/** A counter that can be awaited. */
export type IdleCounter = {
	enter(): void;
	leave(): void;
	/** Counts the work until it settles. */
	track<T>(work: () => Promise<T>): Promise<T>;
	count(): number;
	/** Resolves when the count is zero; immediately if it already is. */
	whenIdle(): Promise<void>;
};

/** Creates a counter at zero. */
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
