/**
 * Limits the total bytes of caller bodies, and of answers that callers have not
 * read yet, that a node holds at once.
 *
 * The limit of one body times the limit of connections is far more than the
 * memory of a VM. Many simultaneous uploads, or many senders that stop half-way,
 * would end the process and every request in it, seen as restarts during the
 * morning's photo uploads. An upload that doesn't fit is refused before it runs,
 * with a Retry-After.
 */

/** A budget of bytes. */
export type BodyBudget = {
	/** Reserves bytes; returns false and reserves nothing if they don't fit. */
	reserve(bytes: number): boolean;
	/** Counts bytes that are held in any case: what has run is not refused. */
	add(bytes: number): void;
	/** Whether no more fits. */
	isFull(): boolean;
	/** Whether bytes didn't fit since the last release. */
	hasRefused(): boolean;
	release(bytes: number): void;
};

/** Creates a budget of `limit` bytes. */
export function createBodyBudget(limit: number): BodyBudget {
	let reserved = 0;
	let hasRefused = false;
	return {
		reserve(bytes) {
			if (reserved + bytes > limit) {
				hasRefused = true;
				return false;
			}

			reserved += bytes;
			return true;
		},
		add(bytes) {
			reserved += bytes;
		},
		isFull: () => reserved >= limit,
		hasRefused: () => hasRefused,
		release(bytes) {
			reserved -= bytes;
			hasRefused &&= bytes === 0;
		},
	};
}
