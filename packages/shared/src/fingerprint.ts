/** What makes two attempts the same request. */
import {createHash} from 'node:crypto';

/** The parts of a request that a repeat must not change. */
export type FingerprintParts = {
	caller: string;
	method: string;
	path: string;
	body: Uint8Array;
};

/** SHA-256 over the parts, in hexadecimal. */
export function fingerprintRequest(parts: FingerprintParts): string {
	const {caller, method, path, body} = parts;
	return createHash('sha256')
		.update(JSON.stringify([caller, method, path]))
		.update(body)
		.digest('hex');
}
