/**
 * Reads the body of a caller's request within the memory of the node. A body is
 * not read before there is memory for all of it, so its sender waits; one that
 * would wait too long, or stops arriving, is refused and discarded.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Clock, Timer} from '@egretspoke/shared';
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
};

/** Reads a body; the result isn't reported if the sender disconnects before. */
export function readBody(
	request: IncomingMessage,
	options: BodyOptions,
	onResult: (result: BodyResult) => void,
): void {
	const {budget, clock, limit} = options;
	const length = readLength(request);
	let chunks: Uint8Array[] = [];
	let size = 0;
	let hold: BodyHold | undefined;
	/** The memory of a large body. */
	let buffer: Uint8Array | undefined;
	let isOver = false;
	let withdraw = () => undefined as void;
	let timer: Timer | undefined;

	const end = () => {
		isOver = true;
		withdraw();
		timer?.cancel();
		request.off('data', receive);
	};

	const release = () => {
		hold?.release();
		hold = undefined;
		chunks = [];
		buffer = undefined;
	};

	const discard = () => {
		end();
		release();
		request.resume();
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
				let offset = 0;
				for (const chunk of chunks) {
					buffer.set(chunk, offset);
					offset += chunk.byteLength;
				}

				chunks = [];
				watchArrival();
			}

			request.on('data', receive);
			request.resume();
		});
		if (!isDecided) {
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

		if (buffer) {
			buffer.set(chunk, size);
			budget.dropPart(chunk.byteLength);
		} else {
			chunks.push(chunk);
		}

		size += chunk.byteLength;
		if (!buffer && length === undefined && size > largeBody) {
			// Its size is unknown, so there must be memory for the largest one.
			request.off('data', receive);
			request.pause();
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
			size === 0
				? undefined
				: (buffer?.subarray(0, size) ??
					(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		onResult({kind: 'read', body, hold: hold!});
	});
	request.once('close', () => {
		if (!isOver) {
			end();
			release();
		}
	});
	if (length === undefined) {
		readWith(largeBody);
	} else if (length > limit) {
		rejectLarge();
	} else {
		readWith(length);
	}
}

/** The stated size of a body in bytes; undefined if it is sent in chunks. */
function readLength({headers}: IncomingMessage): number | undefined {
	return headers['transfer-encoding'] === undefined
		? Number(headers['content-length'])
		: undefined;
}
