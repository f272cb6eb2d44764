/** Joins the parts of a body as they arrive: a list of them would hold an object for each, however small. */
import {Buffer} from 'node:buffer';

/** The parts so far. */
export type JoinedParts = {
	add(part: Uint8Array): void;
	/** Number of bytes. */
	size(): number;
	/** Returns the parts as one. */
	take(): Uint8Array;
};

/** Bytes that are reserved for a body of unknown size at first. */
const initialCapacity = 4096;

/**
 * Creates an empty list.
 *
 * @param expected - The size of the body in bytes; undefined if it is unknown.
 */
export function createJoinedParts(expected?: number): JoinedParts {
	let memory: Uint8Array = new Uint8Array(0);
	let size = 0;

	const reserve = (needed: number) => {
		if (needed <= memory.byteLength) {
			return;
		}

		const capacity = expected ?? Math.max(initialCapacity, size * 2);
		const grown = Buffer.allocUnsafeSlow(Math.max(needed, capacity));
		grown.set(memory.subarray(0, size));
		memory = grown;
	};

	return {
		add(part) {
			if (size === 0 && part.byteLength === expected) {
				// It is the whole body, which needs no copy.
				memory = part;
			} else {
				reserve(size + part.byteLength);
				memory.set(part, size);
			}

			size += part.byteLength;
		},
		size: () => size,
		take: () => memory.subarray(0, size),
	};
}
