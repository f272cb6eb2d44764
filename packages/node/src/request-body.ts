/** Reads a request's body whole, within a limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** Why there is no whole body. */
export type BodyFault = 'tooLarge' | 'cutShort';

const empty = new Uint8Array(0);

/** Resolves always. A body over the limit isn't read to its end. */
export async function readBody(
	request: IncomingMessage,
	limit: number,
): Promise<Result<Uint8Array, BodyFault>> {
	const announced = request.headers['content-length'];
	if (announced === undefined && !request.headers['transfer-encoding']) {
		return ok(empty);
	}

	if (Number(announced ?? 0) > limit) {
		return err('tooLarge');
	}

	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > limit) {
				request.pause();
				resolve(err('tooLarge'));
				return;
			}

			chunks.push(chunk);
		});
		request.on('end', () => {
			resolve(ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		});
		request.on('close', () => {
			resolve(err('cutShort'));
		});
		request.on('error', () => {
			resolve(err('cutShort'));
		});
	});
}
