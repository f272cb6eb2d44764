/** Writes what changes now and then, one write after the other, until the last state is written. */
import {sleep, type Clock, type Random} from '@egretspoke/shared';

/** What a writer needs. */
export type RowWriterOptions = {
	clock: Clock;
	random: Random;
	/** Writes the state of now; false when that failed. */
	write: () => Promise<boolean>;
};

/** The writer. */
export type RowWriter = {
	/** The state has changed. */
	request(): void;
	/** Writes from now on, until the signal aborts. */
	start(signal: AbortSignal): void;
};

/** Milliseconds before another try of a write that failed, by half more or less. */
const retryPause = 500;

/** Creates a writer that has not started. */
export function createRowWriter(options: RowWriterOptions): RowWriter {
	const {clock, random} = options;
	let life: AbortSignal | undefined;
	let isDirty = false;
	let isWriting = false;

	/** The flag falls in the same turn in which the last state is found written: a change in between would wait for the next one. */
	const run = async (signal: AbortSignal) => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (isDirty && !signal.aborted) {
			isDirty = false;
			// eslint-disable-next-line no-await-in-loop -- one write after the other.
			const isWritten = await options.write();
			if (!isWritten) {
				isDirty = true;
				// eslint-disable-next-line no-await-in-loop -- a pause between two tries.
				await sleep(clock, retryPause * (0.5 + random.fraction()), signal);
			}
		}

		isWriting = false;
	};

	return {
		request() {
			isDirty = true;
			if (life) {
				void run(life);
			}
		},
		start(signal) {
			life = signal;
			void run(signal);
		},
	};
}
