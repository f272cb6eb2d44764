/** Suspects as they travel and lie in the store. */
import type {Suspect} from '@egretspoke/quarantine';
import type {SuspectTuple} from './peer-message.js';

/** The suspect as a list. */
export function toTuple({identity, round, crashes}: Suspect): SuspectTuple {
	return [identity, round, crashes];
}

/** The suspect of a list. */
export function toSuspect([identity, round, crashes]: SuspectTuple): Suspect {
	return {identity, round, crashes};
}
