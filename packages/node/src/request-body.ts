/** Reads the whole body of a request within a limit. */
import type {IncomingMessage} from 'node:http';
import {createJoinedParts} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import type {BodyBudget} from './body-budget.js';

/** Why a body could not be read completely. */
export type BodyFault = 'tooLarge' | 'cutShort' | 'noRoom' | 'stopped';

/** What else ends the reading of a body. */
export type BodyReading = {
	budget?: BodyBudget | undefined;
	/** Aborts when no further request is accepted. */
	signal?: AbortSignal;
	/** Called with the size of each part, also of a body that is discarded. */
	onPart?: (bytes: number) => void;
	/** Receives a function that refuses the body for lack of room, and undefined when it is read. */
	onRefusable?: (refuse: (() => void) | undefined) => void;
};

const empty = new Uint8Array(0);

/**
 * Always resolves. A body that can't be held is discarded. The bytes of a
 * whole body stay reserved in the budget until the caller releases them.
 */
export async function readBody(
	request: IncomingMessage,
	limit: number,
	{budget, signal, onPart, onRefusable = () => undefined}: BodyReading = {},
): Promise<Result<Uint8Array, BodyFault>> {
	const contentLength = request.headers['content-length'];
	if (contentLength === undefined && !request.headers['transfer-encoding']) {
		return ok(empty);
	}

	if (onPart) {
		request.on('data', (part: Uint8Array) => {
			onPart(part.byteLength);
		});
	}

	if (Number(contentLength ?? 0) > limit) {
		request.resume();
		return err('tooLarge');
	}

	if (signal?.aborted) {
		request.resume();
		return err('stopped');
	}

	return new Promise((resolve) => {
		const stated =
			contentLength === undefined ? undefined : Number(contentLength);
		let parts = createJoinedParts(stated);
		let length = 0;
		const fail = (fault: BodyFault) => {
			budget?.release(length);
			length = 0;
			parts = createJoinedParts(0);
			signal?.removeEventListener('abort', stop);
			onRefusable(undefined);
			// The rest is discarded, since unread bytes would make the close reset the connection.
			request.off('data', onData).off('end', finish).off('close', cut).resume();
			resolve(err(fault));
		};

		const onData = (chunk: Uint8Array) => {
			if (length + chunk.length > limit) {
				fail('tooLarge');
			} else if (budget?.reserve(chunk.length) ?? true) {
				length += chunk.length;
				parts.add(chunk);
			} else {
				fail('noRoom');
			}
		};

		const finish = () => {
			onRefusable(undefined);
			signal?.removeEventListener('abort', stop);
			request.off('close', cut);
			resolve(ok(parts.take()));
		};

		const cut = () => {
			fail('cutShort');
		};

		const stop = () => {
			fail('stopped');
		};

		signal?.addEventListener('abort', stop);
		onRefusable(() => {
			fail('noRoom');
		});
		request.on('data', onData).on('end', finish).on('close', cut);
		// The `close` event that follows an error is handled instead.
		request.on('error', () => undefined);
	});
}
