/** A request that was running on targets when they crashed, and the thresholds that apply to it. */
import type {RequestIdentity} from './request-identity.js';

/** A request that may have crashed targets. */
export type Suspect = {
	identity: RequestIdentity;
	/** Incremented when an answer clears the request; reports of earlier rounds are ignored. */
	round: number;
	/** Successive crashes of targets that ran it, in this round. */
	crashes: number;
};

/** Crashes from which a target runs the request with no other isolated request at the same time. */
const isolationThreshold = 2;
/** Crashes from which no target runs the request. */
const quarantineThreshold = 3;

/** Whether the request runs with no other isolated request, so that a crash can be attributed to it. */
export function isIsolated({crashes}: Pick<Suspect, 'crashes'>): boolean {
	return crashes >= isolationThreshold;
}

/** Whether the request must not be run by any target. */
export function isQuarantined({crashes}: Pick<Suspect, 'crashes'>): boolean {
	return crashes >= quarantineThreshold;
}

/** Whether `left` is of a later round than `right`, or of the same round with more crashes. */
export function isNewer(left: Suspect, right: Suspect): boolean {
	return left.round === right.round
		? left.crashes > right.crashes
		: left.round > right.round;
}
