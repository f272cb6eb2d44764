/**
 * Reads the body of a caller's request within the memory of the node. A body is
 * not read before there is memory for all of it, so its sender waits; one that
 * would wait too long, or stops arriving, is refused and discarded.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createJoinedParts, type Clock, type Timer} from '@egretspoke/shared';
import {
	largeBody,
	type BodyHold,
	type MemoryBudget,
} from '../decisions/memory/memory-budget.js';

/** The result of reading a body; only `tooLarge` is reported after the rest of the body has arrived. */
export type BodyResult =
	| {kind: 'read'; body: Uint8Array | undefined; hold: BodyHold}
	| {kind: 'tooLarge'}
	| {kind: 'noMemory'}
	| {kind: 'stalled'};

/** Options of `readBody`. */
export type BodyOptions = {
	clock: Clock;
	budget: MemoryBudget;
	/** Maximum size in bytes. */
	limit: number;
	/** Maximum wait for memory in milliseconds. */
	maxWait: number;
	/** Maximum milliseconds in which a large body arrives. */
	maxTime: number;
	/** Maximum milliseconds without a part of a large body: it holds memory that others wait for. */
	stallTimeout: number;
	/** Stops reading from the connection, and goes on. */
	pauseReading: () => void;
	resumeReading: () => void;
	/** Called with the size of each part. */
	onPart: (bytes: number) => void;
	/** Drops the rest of the body. */
	discard: () => void;
};

/** Bytes that a part takes until it is collected, beside its content. */
const partOverhead = 256;

/**
 * Reads a body; the result isn't reported if the sender disconnects before.
 * Returns a function that refuses it as `stalled`, which does nothing afterwards.
 */
export function readBody(
	request: IncomingMessage,
	options: BodyOptions,
	onResult: (result: BodyResult) => void,
): () => void {
	const {budget, clock, limit} = options;
	const length = readLength(request);
	/** The memory of a body of up to `largeBody` bytes. */
	let joined = createJoinedParts(length);
	let size = 0;
	let hold: BodyHold | undefined;
	/** The memory of a large body. */
	let buffer: Uint8Array | undefined;
	let isOver = false;
	/** Whether memory for a body of more than `largeBody` bytes was asked for. */
	let isGrowing = false;
	let withdraw = () => undefined as void;
	let timer: Timer | undefined;

	const end = () => {
		isOver = true;
		withdraw();
		timer?.cancel();
		request.off('data', receive);
		options.resumeReading();
	};

	const release = () => {
		hold?.release();
		hold = undefined;
		joined = createJoinedParts(0);
		buffer = undefined;
	};

	const discard = () => {
		end();
		release();
		options.discard();
	};

	const refuse = (kind: 'noMemory' | 'stalled') => {
		discard();
		onResult({kind});
	};

	const rejectLarge = () => {
		discard();
		request.once('end', () => {
			onResult({kind: 'tooLarge'});
		});
	};

	/** Refuses a large body that stops arriving. */
	const watchArrival = () => {
		const until = clock.now() + options.maxTime;
		let sizeBefore = size;
		const check = () => {
			if (size === sizeBefore || clock.now() >= until) {
				refuse('stalled');
				return;
			}

			sizeBefore = size;
			setCheck();
		};

		const setCheck = () => {
			const delay = Math.min(options.stallTimeout, until - clock.now());
			timer = clock.setTimer(delay, check);
		};

		setCheck();
	};

	/** Takes memory for a body of so many bytes, then reads on. */
	const readWith = (bytes: number) => {
		let isDecided = false;
		withdraw = budget.holdWhenFree(bytes, (granted) => {
			isDecided = true;
			timer?.cancel();
			if (!granted) {
				refuse('noMemory');
				return;
			}

			hold?.release();
			hold = granted;
			if (bytes > largeBody) {
				buffer = Buffer.allocUnsafeSlow(bytes);
				buffer.set(joined.take());
				joined = createJoinedParts(0);
				watchArrival();
			}

			options.resumeReading();
		});
		if (!isDecided) {
			// What was read before is still received.
			options.pauseReading();
			timer = clock.setTimer(options.maxWait, () => {
				refuse('noMemory');
			});
		}
	};

	const receive = (chunk: Uint8Array) => {
		if (size + chunk.byteLength > limit) {
			rejectLarge();
			return;
		}

		if (buffer && size + chunk.byteLength > buffer.byteLength) {
			refuse('noMemory');
			return;
		}

		options.onPart(chunk.byteLength);
		budget.dropPart(chunk.byteLength + partOverhead);
		if (buffer) {
			buffer.set(chunk, size);
		} else {
			joined.add(chunk);
		}

		size += chunk.byteLength;
		if (!buffer && length === undefined && size > largeBody && !isGrowing) {
			isGrowing = true;
			// Its size is unknown, so there must be memory for the largest one.
			readWith(Math.min(limit, budget.maxBody));
		}
	};

	request.once('end', () => {
		if (isOver) {
			return;
		}

		end();
		hold!.shrink(size);
		const body =
			size === 0 ? undefined : (buffer?.subarray(0, size) ?? joined.take());
		onResult({kind: 'read', body, hold: hold!});
	});
	request.once('close', () => {
		if (!isOver) {
			end();
			release();
		}
	});
	if (length !== undefined && length > limit) {
		rejectLarge();
	} else {
		request.on('data', receive);
		readWith(length ?? largeBody);
	}

	return () => {
		if (!isOver) {
			refuse('stalled');
		}
	};
}

/** The stated size of a body in bytes; undefined if it is sent in chunks. */
function readLength({headers}: IncomingMessage): number | undefined {
	return headers['transfer-encoding'] === undefined
		? Number(headers['content-length'])
		: undefined;
}
