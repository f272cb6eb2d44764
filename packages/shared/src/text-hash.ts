/** A fast hash of texts for sampling and distribution; not cryptographic, so not safe against forgery. */

const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/* eslint-disable no-bitwise -- hashes are made of bit operations. */
/**
 * 32-bit FNV-1a with the finalizer of MurmurHash3, so that texts that differ
 * only in their last character still get well distributed hashes.
 */
export function hashText(text: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- code units are sufficient for a hash and the cheapest to read.
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
