/**
 * A node's record of itself. Each announced change raises the heartbeat; a
 * wrong claim of another node is refuted with a newer record.
 */
import type {Member} from '@egretspoke/protocol';

/** What may change in a node's record of itself. */
export type OwnChange = {
	state?: Member['state'];
	/** Undefined removes the target. */
	target?: Member['target'] | undefined;
	configurationVersion?: number;
};

/** Returns the record after a change. */
export function announceChange(own: Member, change: OwnChange): Member {
	const {target, ...rest} = {...own, ...change};
	return {...rest, ...(target && {target}), heartbeat: own.heartbeat + 1};
}

/** Returns a record with a new incarnation, above all earlier ones. */
export function reincarnate(own: Member, wallTime: Date): Member {
	const incarnation = Math.max(own.incarnation + 1, wallTime.getTime());
	return {...own, incarnation, heartbeat: 0};
}

/**
 * Returns a record that overrides another node's claim about this node, or
 * undefined when the claim is old or equal. A claim of the same incarnation is
 * overridden by a higher heartbeat. A higher incarnation comes from an earlier
 * process whose wall clock was ahead; the node takes a still higher one, because
 * the idempotency keys of that process are lost.
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
