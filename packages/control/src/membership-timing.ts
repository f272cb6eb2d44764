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
	/** The least time between two exchanges of all members after a return. */
	returnPause: number;
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
	returnPause: 10_000,
	remembrance: 3_600_000,
};

/** Records that ride on a probe or acknowledgement besides the sender's own. */
export const newsLimit = 12;

/** Members told at once of what can't wait for the next probe. */
export const spreadWidth = 3;

/** Milliseconds between two such rounds of a node. */
export const spreadPause = 200;
