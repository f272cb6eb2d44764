/** The intervals and timeouts of membership, in milliseconds; docs/decisions/membership.md derives them. */
export type MembershipTiming = {
	/** Interval between the probes that a node sends. */
	probeInterval: number;
	/** Timeout of a probe. */
	probeTimeout: number;
	/** Time after which a suspect that has not refuted the suspicion is gone. */
	suspicionTimeout: number;
	/** A node whose own timer has not run for this long suspends itself. */
	lease: number;
	/** Interval between probes of a member that is gone, or of a seed address. */
	reconnectInterval: number;
	/** Interval between requests for all members to a random member. */
	fullSyncInterval: number;
	/** Delay between a rejoin and the request for all members; refutations take this long. */
	rejoinSyncDelay: number;
	/** Minimum interval between two such requests. */
	minRejoinSyncInterval: number;
	/**
	 * The same per member; the larger of the two applies. The response has about
	 * 290 bytes per member, so its bandwidth stays below 290 bytes in 50 ms.
	 */
	minRejoinSyncIntervalPerMember: number;
	/** How long the record of a gone member is retained. */
	goneRetention: number;
};

/** The default intervals and timeouts, in milliseconds. */
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
 * Maximum number of records in a message besides the sender's own. A record is
 * about 290 bytes, so these limits and the intervals above bound the bandwidth.
 */
export const gossipLimits = {
	probe: 8,
	/** A message of an immediate gossip round; there may be many of them. */
	round: 3,
	/** An acknowledgement may carry this many, or as many as its probe if that is more. */
	acknowledgement: 2,
} as const;

/** Number of members that an immediate gossip round is sent to. */
export const gossipFanout = 3;

/** Minimum interval between two such rounds of a node, in milliseconds. */
export const minRoundInterval = 500;
