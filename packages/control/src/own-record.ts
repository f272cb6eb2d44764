/**
 * A node's record of itself. Whatever it announces gets a higher heartbeat;
 * what others say about it is answered with a newer record.
 */
import type {Member} from '@egretspoke/protocol';

/** What may change in a node's record of itself. */
export type OwnChange = {
	state?: Member['state'];
	/** Undefined takes the target back. */
	target?: Member['target'] | undefined;
	configurationVersion?: number;
};

/** The record after a change. */
export function announceChange(own: Member, change: OwnChange): Member {
	const {target, ...rest} = {...own, ...change};
	return {...rest, ...(target && {target}), heartbeat: own.heartbeat + 1};
}

/** The record of a new life, above any that is known. */
export function reincarnate(own: Member, wallTime: Date): Member {
	const incarnation = Math.max(own.incarnation + 1, wallTime.getTime());
	return {...own, incarnation, heartbeat: 0};
}

/**
 * What a node makes of a record about itself: undefined when it is old or
 * equal, else a record that overrides it. A rumour within this incarnation
 * takes a higher heartbeat. A higher incarnation comes from an earlier process
 * whose wall time was ahead; it is outbid, since the keys that it remembered
 * are lost.
 */
export function refute(own: Member, claim: Member): Member | undefined {
	if (claim.incarnation > own.incarnation) {
		return {...own, incarnation: claim.incarnation + 1, heartbeat: 0};
	}

	const isNewerClaim =
		claim.incarnation === own.incarnation &&
		(claim.heartbeat > own.heartbeat ||
			(claim.heartbeat === own.heartbeat && claim.state !== own.state));
	return isNewerClaim
		? {...own, heartbeat: Math.max(own.heartbeat, claim.heartbeat) + 1}
		: undefined;
}
