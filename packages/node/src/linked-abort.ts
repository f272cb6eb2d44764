/** An abort controller that is linked to other signals until its work is done. */

/** A controller whose signal aborts with any of its sources. */
export type LinkedAbort = {
	signal: AbortSignal;
	abort(): void;
	/** Unlinks the sources; otherwise a long-lived source would retain every request that was linked to it. */
	release(): void;
};

/** The default reason would create an exception with its stack for each abort. */
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
