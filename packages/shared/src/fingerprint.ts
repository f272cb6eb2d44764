/** Fingerprints requests, to detect that two attempts are the same request. */
import {createHash} from 'node:crypto';

/** The parts of a request that must be identical in a repeat. */
export type FingerprintParts = {
	caller: string;
	method: string;
	path: string;
	body: Uint8Array;
};

/** Returns the SHA-256 hash of the parts in hexadecimal. */
export function fingerprintRequest(parts: FingerprintParts): string {
	const {caller, method, path, body} = parts;
	return createHash('sha256')
		.update(JSON.stringify([caller, method, path]))
		.update(body)
		.digest('hex');
}
