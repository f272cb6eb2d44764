/** The periods of membership, in milliseconds; docs/decisions/membership.md has the sums. */
export type MembershipTiming = {
	/** Between two probes by a node. */
	probeInterval: number;
	/** Until a probe without an answer counts as failed. */
	probeTimeout: number;
	/** Until a suspect that nobody refuted is gone. */
	suspicionTimeout: number;
	/** Without a pulse of its own, a node treats itself as absent. */
	lease: number;
	/** Between two tries to reach a member that is gone, or a seed. */
	reconnectInterval: number;
	/** Between two exchanges of all members with some member. */
	fullSyncInterval: number;
	/** From the return of a member until all members are asked for; refutations take this long. */
	rejoinSyncDelay: number;
	/** The least time between two such exchanges. */
	minRejoinSyncInterval: number;
	/**
	 * The same for each member, where that is more: an answer grows with the
	 * members, so that its bytes a second stay below 290 in 50 ms.
	 */
	minRejoinSyncIntervalPerMember: number;
	/** How long the end of a member is remembered. */
	goneRetention: number;
};

export const defaultTiming: MembershipTiming = {
	probeInterval: 1000,
	probeTimeout: 500,
	suspicionTimeout: 3000,
	lease: 3000,
	reconnectInterval: 5000,
	fullSyncInterval: 120_000,
	rejoinSyncDelay: 3000,
	minRejoinSyncInterval: 10_000,
	minRejoinSyncIntervalPerMember: 50,
	goneRetention: 3_600_000,
};

/**
 * Records that ride on a message besides the sender's own. A record is about
 * 290 bytes, so these bounds and the periods above bound the bytes a second.
 */
export const gossipLimits = {
	probe: 8,
	/** A message of a round that can't wait; there may be many of them. */
	round: 3,
	/** An acknowledgement brings at least these, or as many as its probe brought. */
	acknowledgement: 2,
} as const;

/** Members told at once of what can't wait for the next probe. */
export const gossipFanout = 3;

/** Milliseconds between two such rounds of a node. */
export const minRoundInterval = 500;
