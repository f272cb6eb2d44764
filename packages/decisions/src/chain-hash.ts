/**
 * Hashes a name to a number that is the same at every layer of a chain, so
 * that all calls of one request are refused or admitted together.
 */

/** The largest prime below 2^32; products with small factors stay exact. */
const modulus = 4_294_967_291;
const factor = 31;
/**
 * Multiples of the golden ratio's fractional part spread consecutive numbers
 * evenly (Knuth, volume 3, section 6.4).
 */
const goldenFraction = 0.618_033_988_749_894_9;

/** Returns a fraction from 0 up to, but not including, 1; equal names give equal fractions. */
export function hashFraction(name: string): number {
	let hash = 7;
	for (let index = 0; index < name.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- units are enough for a hash, and cost half as much.
		hash = (hash * factor + name.charCodeAt(index)) % modulus;
	}

	return (hash * goldenFraction) % 1;
}
