/** A seeded random number generator, passed to all code that makes random decisions. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** A random number generator; the same seed gives the same sequence. */
export type Random = {
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	fraction(): number;
	/** Returns an integer from 0 (inclusive) to the bound (exclusive). */
	below(bound: number): number;
	/** Creates a generator whose sequence is independent of later values of this one. */
	fork(): Random;
};

const fractionSteps = 2 ** 32;

/** Creates a generator from an integer seed. */
export function createRandom(seed: number): Random {
	return fromGenerator(xoroshiro128plus(seed));
}

function fromGenerator(generator: RandomGenerator): Random {
	return {
		fraction: () => uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
		below: (bound) => uniformInt(generator, 0, bound - 1),
		fork: () => createRandom(uniformInt(generator, -(2 ** 31), 2 ** 31 - 1)),
	};
}
