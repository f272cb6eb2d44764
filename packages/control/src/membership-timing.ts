/** The periods of membership, in milliseconds; docs/decisions/membership.md has the sums. */
export type MembershipTiming = {
	/** Between two probes by a node. */
	probePeriod: number;
	/** Until a probe without an answer counts as failed. */
	probeTimeout: number;
	/** Until a suspect that nobody refuted is gone. */
	suspicion: number;
	/** Without a pulse of its own, a node treats itself as absent. */
	lease: number;
	/** Between two tries to reach a member that is gone, or a seed. */
	lostPeriod: number;
	/** Between two exchanges of all members with some member. */
	wholePeriod: number;
	/** From the return of a member until all members are asked for; refutations take this long. */
	returnDelay: number;
	/** The least time between two such exchanges. */
	returnPause: number;
	/**
	 * The same for each member, where that is more: an answer grows with the
	 * members, so that its bytes a second stay below 290 in 50 ms.
	 */
	returnPauseEach: number;
	/** How long the end of a member is remembered. */
	remembrance: number;
};

export const defaultTiming: MembershipTiming = {
	probePeriod: 1000,
	probeTimeout: 500,
	suspicion: 3000,
	lease: 3000,
	lostPeriod: 5000,
	wholePeriod: 120_000,
	returnDelay: 3000,
	returnPause: 10_000,
	returnPauseEach: 50,
	remembrance: 3_600_000,
};

/**
 * Records that ride on a message besides the sender's own. A record is about
 * 290 bytes, so these bounds and the periods above bound the bytes a second.
 */
export const newsLimits = {
	probe: 8,
	/** A message of a round that can't wait; there may be many of them. */
	spread: 3,
	/** An acknowledgement brings at least these, or as many as its probe brought. */
	acknowledgement: 2,
} as const;

/** Members told at once of what can't wait for the next probe. */
export const spreadWidth = 3;

/** Milliseconds between two such rounds of a node. */
export const spreadPause = 500;
