/** Stable pseudo-random orders of names, identical on every node and after every restart. */
import {createHash} from 'node:crypto';

/** The position of a name in one order: an integer from 0 to 2 to the 32nd, exclusive. */
export type NameRank = (name: string) => number;

/** Creates an order; each seed gives a different one. */
export function createNameRank(seed: string): NameRank {
	const known = new Map<string, number>();
	return (name) => {
		let rank = known.get(name);
		if (rank === undefined) {
			rank = createHash('sha1')
				.update(`${seed}\n${name}`)
				.digest()
				.readUInt32BE();
			known.set(name, rank);
		}

		return rank;
	};
}
