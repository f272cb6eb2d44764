/** What the quota enforcement of a node and the allocator exchange. */

/** The quota of a workspace. */
export type Quota = {
	workspace: string;
	/** Requests per second. */
	rate: number;
	/** Requests beyond the rate that may arrive at once. */
	burst: number;
};

/** The requests of a workspace at a node or a data centre: the demand without a quota, and what was admitted; in requests per second. */
export type QuotaUse = {
	workspace: string;
	requested: number;
	admitted: number;
	/** What nodes without recent reports may admit; 0 for a single node. */
	reserved: number;
};

/** A grant of an allocator. */
export type QuotaGrant = {
	workspace: string;
	/** The demand over all nodes, in requests per second. */
	requested: number;
	/** The ratio of the demand, from 0 to 1, that may be admitted. */
	share: number;
};

/** Milliseconds without a report after which a reporter counts as silent; an allocator may still grant for as long after a partition. */
export const reportTimeout = 1200;
