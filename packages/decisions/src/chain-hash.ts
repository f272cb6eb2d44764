/**
 * A number for a name that is the same at every layer of a chain, so that
 * calls of one request are all refused or all let in.
 */

/** The largest prime below 2^32; products with small factors stay exact. */
const modulus = 4_294_967_291;
const factor = 31;
/** The golden ratio's fraction spreads neighbouring numbers evenly (Knuth, volume 3, section 6.4). */
const goldenFraction = 0.618_033_988_749_894_9;

/** A fraction from 0 up to, not including, 1; the same name gives the same. */
export function hashFraction(name: string): number {
	let hash = 7;
	for (let index = 0; index < name.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- units are enough for a hash, and cost half as much.
		hash = (hash * factor + name.charCodeAt(index)) % modulus;
	}

	return (hash * goldenFraction) % 1;
}
