/** A quick hash of texts, for spreading and for telling apart; not against forgery. */

const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/* eslint-disable no-bitwise -- hashes are made of bit operations. */
/**
 * FNV-1a of 32 bits, finished as in MurmurHash3 so that texts which differ in
 * their last character only still spread.
 */
export function hashText(text: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- any part of the text does for a hash, and this is the cheapest.
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
