/**
 * By what two attempts at a request are known as the same one, at any node.
 *
 * Load pattern: nearly every request is nobody's repeat. So an identity begins
 * with a quick hash of the path and the length of the body, by which a request
 * that is none of the known ones is told apart without a digest.
 */
import {Buffer} from 'node:buffer';
import {
	fingerprintRequest,
	hashText,
	type FingerprintParts,
} from '@egretspoke/shared';

/** The parts of a request that a repeat shares; the host, or the service, tells paths apart. */
export type RequestParts = FingerprintParts & {host: string};

/** Identifies a request: its quick hash, then the digest of all its parts. */
export type RequestIdentity = string;

/** Characters of the quick hash, which has four bytes. */
const quickHashLength = 6;
const quickHashBytes = 4;
const quickHashRange = 2 ** 32;
/** A prime, so that neighbouring lengths lie far apart. */
const lengthFactor = 65_537;
/** Characters of the digest, 66 bits. */
const digestLength = 11;

/** The identity of a request. */
export function identifyRequest({
	host,
	path,
	...others
}: RequestParts): RequestIdentity {
	const start = Buffer.alloc(quickHashBytes);
	start.writeUInt32BE(hashQuickly(path, others.body.byteLength));
	const fingerprint = fingerprintRequest({...others, path: host + path});
	const digest = Buffer.from(fingerprint, 'hex').toString('base64url');
	return start.toString('base64url') + digest.slice(0, digestLength);
}

/** The quick hash of a request with so many bytes of body. */
export function hashQuickly(path: string, bodyLength: number): number {
	return (hashText(path) + bodyLength * lengthFactor) % quickHashRange;
}

/** The quick hash of an identified request. */
export function quickHashOf(identity: RequestIdentity): number {
	const start = Buffer.from(identity.slice(0, quickHashLength), 'base64url');
	return start.length === quickHashBytes ? start.readUInt32BE() : 0;
}
