/** The encoding of suspects in messages between nodes and in the store. */
import {z} from 'zod';
import type {Suspect} from './suspect.js';

const maxIdentityLength = 64;

/** Far above any count; it may be incremented and is still exact. */
const maxCount = 1_000_000_000;

/** A suspect as a tuple: identity, round, crashes. */
export const suspectTupleSchema = z.tuple([
	z.string().min(1).max(maxIdentityLength),
	z.number().int().nonnegative().max(maxCount),
	z.number().int().nonnegative().max(maxCount),
]);

export type SuspectTuple = z.output<typeof suspectTupleSchema>;

/** Converts a suspect to its tuple. */
export function toTuple({identity, round, crashes}: Suspect): SuspectTuple {
	return [identity, round, crashes];
}

/** Converts a tuple to its suspect. */
export function toSuspect([identity, round, crashes]: SuspectTuple): Suspect {
	return {identity, round, crashes};
}
