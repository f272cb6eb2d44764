/**
 * Bounds the bytes of callers' bodies that a node holds at once.
 *
 * What goes wrong without it: the limit of one body times the limit of
 * connections is far more than a VM's memory, so that many uploads at once, or
 * many senders who stop half way, end the process and every request in it. One
 * notices restarts during the morning's photos. Here the upload that doesn't
 * fit is refused before it ran, and told when to come back.
 */

/** The bytes that are still free. */
export type BodyBudget = {
	/** Takes bytes; false when they don't fit, and nothing is taken then. */
	reserve(bytes: number): boolean;
	release(bytes: number): void;
};

/** Creates a budget of that many bytes. */
export function createBodyBudget(limit: number): BodyBudget {
	let reserved = 0;
	return {
		reserve(bytes) {
			if (reserved + bytes > limit) {
				return false;
			}

			reserved += bytes;
			return true;
		},
		release(bytes) {
			reserved -= bytes;
		},
	};
}
