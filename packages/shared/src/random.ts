/** Seeded randomness, passed in wherever a decision is drawn. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** A source of random numbers; the same seed gives the same sequence. */
export type Random = {
	/** A number from 0 up to, not including, 1. */
	fraction(): number;
	/** A whole number from 0 up to, not including, the bound. */
	below(bound: number): number;
	/** A source of its own, independent of what this one gives afterwards. */
	fork(): Random;
};

const fractionSteps = 2 ** 32;

/** Creates a source from a whole-number seed. */
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
