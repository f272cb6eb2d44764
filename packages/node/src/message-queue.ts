/** A queue between the callback that receives messages and the task that reads them. */

/** A queue that a single reader reads as an async iterable. */
export type MessageQueue<T> = {
	push(value: T): void;
	/** Ends the queue; the reader still receives what was pushed before. */
	end(): void;
	read(): AsyncIterable<T>;
	length(): number;
};

/** Creates an empty queue. */
export function createMessageQueue<T>(): MessageQueue<T> {
	let values: T[] = [];
	let isEnded = false;
	let wake: (() => void) | undefined;

	const wakeReader = () => {
		wake?.();
		wake = undefined;
	};

	const waitForWake = async () =>
		new Promise<void>((resolve) => {
			wake = resolve;
		});

	return {
		push(value) {
			if (!isEnded) {
				values.push(value);
				wakeReader();
			}
		},
		end() {
			isEnded = true;
			wakeReader();
		},
		async *read() {
			for (;;) {
				const batch = values;
				values = [];
				yield* batch;
				if (values.length > 0) {
					continue;
				}

				if (isEnded) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- waits for the next value.
				await waitForWake();
			}
		},
		length: () => values.length,
	};
}
