/** Reads the whole body of a request within a limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {BodyBudget} from './body-budget.js';

/** Why a body could not be read completely. */
export type BodyFault = 'tooLarge' | 'cutShort' | 'noRoom' | 'stopped';

/** What else ends the reading of a body. */
export type BodyReading = {
	budget?: BodyBudget | undefined;
	/** Aborts when no further request is accepted. */
	signal?: AbortSignal;
};

const empty = new Uint8Array(0);

/**
 * Always resolves. A body that can't be held is discarded. The bytes of a
 * whole body stay reserved in the budget until the caller releases them.
 */
export async function readBody(
	request: IncomingMessage,
	limit: number,
	{budget, signal}: BodyReading = {},
): Promise<Result<Uint8Array, BodyFault>> {
	const contentLength = request.headers['content-length'];
	if (contentLength === undefined && !request.headers['transfer-encoding']) {
		return ok(empty);
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
		const chunks: Uint8Array[] = [];
		let length = 0;
		const fail = (fault: BodyFault) => {
			budget?.release(length);
			length = 0;
			chunks.length = 0;
			signal?.removeEventListener('abort', stop);
			// The rest is discarded, since unread bytes would make the close reset the connection.
			request.off('data', onData).off('end', finish).off('close', cut).resume();
			resolve(err(fault));
		};

		const onData = (chunk: Uint8Array) => {
			if (length + chunk.length > limit) {
				fail('tooLarge');
			} else if (budget?.reserve(chunk.length) ?? true) {
				length += chunk.length;
				chunks.push(chunk);
			} else {
				fail('noRoom');
			}
		};

		const finish = () => {
			signal?.removeEventListener('abort', stop);
			request.off('close', cut);
			resolve(ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		};

		const cut = () => {
			fail('cutShort');
		};

		const stop = () => {
			fail('stopped');
		};

		signal?.addEventListener('abort', stop);
		request.on('data', onData).on('end', finish).on('close', cut);
		// The `close` event that follows an error is handled instead.
		request.on('error', () => undefined);
	});
}
