/** Writes a changing state sequentially, and retries until the latest state is written. */
import {sleep, type Clock, type Random} from '@egretspoke/shared';

/** Options of a writer. */
export type RowWriterOptions = {
	clock: Clock;
	random: Random;
	/** Writes the current state; resolves with false on failure. */
	write: () => Promise<boolean>;
	/** Called with the error of a write that threw; it is retried after `errorDelay`. */
	onError?: (error: unknown, retryIn: number) => void;
};

/** A writer that coalesces changes into sequential writes. */
export type RowWriter = {
	/** Schedules a write, because the state has changed. */
	request(): void;
	/** Starts writing, until the signal aborts. */
	start(signal: AbortSignal): void;
};

/** Milliseconds before the retry of a failed write, with a jitter of ±50 %. */
const retryDelay = 500;

/** Milliseconds before the retry of a write that threw, which is a defect and not an outage. */
const errorDelay = 5000;

/** Creates a writer; nothing is written before `start`. */
export function createRowWriter(options: RowWriterOptions): RowWriter {
	const {clock, random} = options;
	let lifeSignal: AbortSignal | undefined;
	let isDirty = false;
	let isWriting = false;

	/** Returns the milliseconds until the retry of a failed write. */
	const writeOnce = async (): Promise<number | undefined> => {
		try {
			const isWritten = await options.write();
			return isWritten ? undefined : retryDelay * (0.5 + random.fraction());
		} catch (error) {
			options.onError?.(error, errorDelay);
			return errorDelay;
		}
	};

	/**
	 * `isWriting` is reset in the same turn in which `isDirty` is read as false;
	 * otherwise a change between the two would not be written until the next one.
	 */
	const run = async (signal: AbortSignal) => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (isDirty && !signal.aborted) {
			isDirty = false;
			// eslint-disable-next-line no-await-in-loop -- writes are sequential.
			const retryIn = await writeOnce();
			if (retryIn !== undefined) {
				isDirty = true;
				// eslint-disable-next-line no-await-in-loop -- the delay comes before the retry.
				await sleep(clock, retryIn, signal);
			}
		}

		isWriting = false;
	};

	return {
		request() {
			isDirty = true;
			if (lifeSignal) {
				void run(lifeSignal);
			}
		},
		start(signal) {
			lifeSignal = signal;
			void run(signal);
		},
	};
}
