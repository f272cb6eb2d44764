/**
 * Identifies repeats of the same request at any node. Because nearly every
 * request is not a repeat of a suspect, an identity starts with a quick hash of
 * the path and the body length, which rules out most requests without computing
 * a digest.
 */
import {Buffer} from 'node:buffer';
import {
	fingerprintRequest,
	hashText,
	type FingerprintParts,
} from '@egretspoke/shared';

/** The parts that repeats of a request share; `host` is the host or the service, which qualifies the path. */
export type RequestParts = FingerprintParts & {host: string};

/** The quick hash of a request, followed by the digest of all of its parts. */
export type RequestIdentity = string;

/** Characters of the encoded quick hash, which has four bytes. */
const quickHashLength = 6;
const quickHashBytes = 4;
const quickHashRange = 2 ** 32;
/** A prime, so that similar lengths give distant hashes. */
const lengthFactor = 65_537;
/** Characters of the truncated digest (66 bits). */
const digestLength = 11;

/** Returns the identity of a request. */
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

/** Returns the quick hash of a path and the length of a body in bytes. */
export function hashQuickly(path: string, bodyLength: number): number {
	return (hashText(path) + bodyLength * lengthFactor) % quickHashRange;
}

/** Returns the quick hash of an identity; 0 when it has none. */
export function quickHashOf(identity: RequestIdentity): number {
	const start = Buffer.from(identity.slice(0, quickHashLength), 'base64url');
	return start.length === quickHashBytes ? start.readUInt32BE() : 0;
}
