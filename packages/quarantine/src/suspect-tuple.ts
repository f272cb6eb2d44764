/** Suspects as they travel between nodes and lie in the store. */
import {z} from 'zod';
import type {Suspect} from './suspect.js';

const longestIdentity = 64;

/** A suspect as a list: its identity, its round and its crashes. */
export const suspectTupleSchema = z.tuple([
	z.string().min(1).max(longestIdentity),
	z.number().int().nonnegative(),
	z.number().int().nonnegative(),
]);

export type SuspectTuple = z.output<typeof suspectTupleSchema>;

/** The suspect as a list. */
export function toTuple({identity, round, crashes}: Suspect): SuspectTuple {
	return [identity, round, crashes];
}

/** The suspect of a list. */
export function toSuspect([identity, round, crashes]: SuspectTuple): Suspect {
	return {identity, round, crashes};
}
