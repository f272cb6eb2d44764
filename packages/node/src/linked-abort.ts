/** An abort that follows others, and lets go of them when its work is done. */

/** A controller whose signal aborts with any of its sources. */
export type LinkedAbort = {
	signal: AbortSignal;
	abort(): void;
	/** Stops following; without it a long-lived source would hold every request it ever saw. */
	release(): void;
};

/** Without a reason of its own, each abort would build an exception with its stack. */
const abortReason = 'caller gone';

/** Creates an abort linked to the sources that are present. */
export function createLinkedAbort(
	...sources: Array<AbortSignal | undefined>
): LinkedAbort {
	const controller = new AbortController();
	const abort = () => {
		controller.abort(abortReason);
	};

	for (const source of sources) {
		if (source?.aborted) {
			abort();
		}

		source?.addEventListener('abort', abort);
	}

	return {
		signal: controller.signal,
		abort,
		release() {
			for (const source of sources) {
				source?.removeEventListener('abort', abort);
			}
		},
	};
}
