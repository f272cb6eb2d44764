/**
 * Paces connections whose bytes take much processor time, such as bodies in
 * chunks of one byte. A read delivers thousands of such chunks; many connections
 * that are read in each turn of the event loop keep all other requests waiting.
 */
import type {Clock, Timer} from './clock.js';

/** A connection that is not read until its turn. */
export type PacedReader = {
	/** Reads on. */
	resume(): void;
};

/** The connections that wait for their turn. */
export type ReadPacer = {
	add(reader: PacedReader): void;
	remove(reader: PacedReader): void;
};

/** Milliseconds between two connections: about as long as a read takes at most. */
const turnInterval = 20;

/** Creates a pacer that resumes one connection after the other. */
export function createReadPacer(clock: Clock): ReadPacer {
	const waiting = new Set<PacedReader>();
	let timer: Timer | undefined;

	const resumeNext = () => {
		timer = undefined;
		const [next] = waiting;
		if (next) {
			waiting.delete(next);
			next.resume();
			watch();
		}
	};

	const watch = () => {
		if (waiting.size > 0) {
			timer ??= clock.setTimer(turnInterval, resumeNext);
		}
	};

	return {
		add(reader) {
			waiting.add(reader);
			watch();
		},
		remove(reader) {
			waiting.delete(reader);
		},
	};
}
