/**
 * By what two attempts at a request are known as the same one, at any node.
 *
 * Load pattern: nearly every request is nobody's repeat. So an identity begins
 * with a quick hash of the path, by which a request that is none of the known
 * ones is told apart without a digest of its body.
 */
import {Buffer} from 'node:buffer';
import {
	fingerprintRequest,
	hashText,
	type FingerprintParts,
} from '@egretspoke/shared';

/** The parts of a request that a repeat shares; the host, or the service, tells paths apart. */
export type RequestParts = FingerprintParts & {host: string};

/** Identifies a request: the hash of its path, then the digest of all its parts. */
export type RequestIdentity = string;

/** Characters of the path's hash, which has four bytes. */
const pathHashLength = 6;
const pathHashBytes = 4;
/** Characters of the digest, 66 bits. */
const digestLength = 11;

/** The identity of a request. */
export function identifyRequest({
	host,
	path,
	...others
}: RequestParts): RequestIdentity {
	const start = Buffer.alloc(pathHashBytes);
	start.writeUInt32BE(hashText(path));
	const fingerprint = fingerprintRequest({...others, path: host + path});
	const digest = Buffer.from(fingerprint, 'hex').toString('base64url');
	return start.toString('base64url') + digest.slice(0, digestLength);
}

/** The hash of the path of an identified request. */
export function pathHashOf(identity: RequestIdentity): number {
	const start = Buffer.from(identity.slice(0, pathHashLength), 'base64url');
	return start.length === pathHashBytes ? start.readUInt32BE() : 0;
}
