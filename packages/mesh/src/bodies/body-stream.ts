/**
 * A response body that is passed on while it arrives, because it is too large to
 * be held whole. Its source is paused while its reader is slower, except for what
 * the memory of the node allows to be held for it: a target cuts off a response
 * that remains unread for long.
 */
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';

/** Receives a body, in this order. */
export type BodyReader = {
	onPart(part: Uint8Array): void;
	onEnd(): void;
	/** The rest of the body will not arrive. */
	onCut(): void;
};

/** A body as its reader sees it. */
export type BodyStream = {
	/** Bytes of the whole body; undefined if its source does not state it. */
	readonly size: number | undefined;
	/** Begins to deliver the body, with what has arrived; called once. */
	read(reader: BodyReader): void;
	/** The reader has passed on so many bytes of it. */
	release(bytes: number): void;
	/** The reader needs no more of it. */
	cancel(): void;
};

/** What a stream needs of its source. */
export type BodySource = {
	/** The reader has passed on so many bytes. */
	onRelease?: (bytes: number) => void;
	/** Stops or continues the delivery of parts. */
	setPaused(isPaused: boolean): void;
	/** The reader needs no more; no further part may be added. */
	cancel(): void;
};

/** Bytes that are held for each stream, even if the share of the memory is used up. */
export const streamWindow = 256 * 1024;

/** A stream and the functions by which its source fills it. */
export type OpenBodyStream = BodyStream & {
	push(part: Uint8Array): void;
	end(): void;
	cut(): void;
};

/** Creates a stream without a reader; its bytes are counted as the given kind. */
export function createBodyStream(
	size: number | undefined,
	budget: MemoryBudget,
	source: BodySource,
	kind: 'streams' | 'answers' = 'streams',
): OpenBodyStream {
	let reader: BodyReader | undefined;
	/** What arrived before there was a reader. */
	let early: Uint8Array[] = [];
	let result: 'open' | 'ended' | 'cut' = 'open';
	let isOver = false;
	let held = 0;
	let stopWaiting: (() => void) | undefined;

	const update = () => {
		const mayArrive = held < streamWindow || !budget.isFull(kind);
		if (mayArrive && stopWaiting) {
			stopWaiting();
			stopWaiting = undefined;
			source.setPaused(false);
		} else if (!mayArrive && !stopWaiting) {
			stopWaiting = budget.whenFree(kind, () => {
				stopWaiting = undefined;
				source.setPaused(false);
			});
			source.setPaused(true);
		}
	};

	const countDown = (bytes: number) => {
		const released = Math.min(bytes, held);
		held -= released;
		budget.remove(kind, released);
		budget.dropPart(released);
	};

	/** Nothing more is delivered. */
	const finish = () => {
		isOver = true;
		early = [];
		stopWaiting?.();
		stopWaiting = undefined;
	};

	const deliverResult = () => {
		if (reader && result !== 'open' && !isOver) {
			finish();
			if (result === 'ended') {
				reader.onEnd();
			} else {
				countDown(held);
				reader.onCut();
			}
		}
	};

	const conclude = (how: 'ended' | 'cut') => {
		if (!isOver && result === 'open') {
			result = how;
			deliverResult();
		}
	};

	return {
		size,
		push(part) {
			if (isOver) {
				return;
			}

			held += part.byteLength;
			budget.add(kind, part.byteLength);
			if (reader) {
				reader.onPart(part);
			} else {
				early.push(part);
			}

			if (!isOver) {
				update();
			}
		},
		end() {
			conclude('ended');
		},
		cut() {
			conclude('cut');
		},
		read(newReader) {
			reader = newReader;
			const parts = early;
			early = [];
			for (const part of parts) {
				reader.onPart(part);
			}

			deliverResult();
		},
		release(bytes) {
			countDown(bytes);
			if (!isOver && result === 'open') {
				source.onRelease?.(bytes);
				update();
			}
		},
		cancel() {
			const wasOpen = result === 'open' && !isOver;
			finish();
			countDown(held);
			if (wasOpen) {
				source.cancel();
			}
		},
	};
}

/** Creates the stream of a body that is held whole, for a reader that takes it in parts. */
export function createHeldBodyStream(
	body: Uint8Array,
	budget: MemoryBudget,
): BodyStream {
	const source = {setPaused: () => undefined, cancel: () => undefined};
	const stream = createBodyStream(body.byteLength, budget, source, 'answers');
	stream.push(body);
	stream.end();
	return stream;
}
