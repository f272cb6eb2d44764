/**
 * One node's part in the quotas of workspaces.
 *
 * Load pattern: a workspace sends many times its usual load, over all nodes at
 * once. No node sees how much that is in all. So each node tells an allotter
 * what it was asked and what it let in (`quota-allotment.ts`), and gets back the
 * share of the requests that all nodes together may let in; while a workspace
 * is within its quota the share is 1, and nobody is refused.
 *
 * A node that has not heard from an allotter for a while is cut off, or has just
 * started. Then it spends a fixed part of the quota: the part of the workspace's
 * requests that came to it when it last knew the whole, else an equal one. The
 * sum of the parts is the quota, whoever is cut off from whom.
 */
import type {Random} from '@egretspoke/shared';

/** The quota of a workspace. */
export type Quota = {
	workspace: string;
	/** Requests a second. */
	rate: number;
	/** Requests beyond the rate that may come at once. */
	burst: number;
};

/** What a node, or the nodes of a data centre, let in of a workspace's requests, and would without a quota; requests a second. */
export type QuotaUse = {
	workspace: string;
	requested: number;
	admitted: number;
	/** What nodes that can't be heard may let in; 0 for one node. */
	reserved: number;
};

/** What an allotter grants. */
export type QuotaGrant = {
	workspace: string;
	/** Requests a second that all nodes are asked. */
	requested: number;
	/** The part of them, from 0 to 1, that may be let in. */
	share: number;
};

/** One node's part in the quotas; instants by the steady clock, in milliseconds. */
export type QuotaShare = {
	/** Whether the quota allows one more request. */
	allows(quota: Quota, now: number): boolean;
	/** A request that was allowed goes to a target; one that is refused otherwise uses up nothing. */
	recordAdmitted(quota: Quota): void;
	/** Milliseconds until the workspace will probably have room. */
	retryAfterTime(quota: Quota): number;
	/** What came since the last call. */
	uses(now: number): QuotaUse[];
	/** Takes what an allotter grants; also without grants it is a sign of life. */
	applyGrants(grants: QuotaGrant[], now: number): void;
};

/** Milliseconds without a sign of an allotter after which a node spends a fixed part. */
const contactLife = 1000;
/** Milliseconds over which the requests that come to this node are averaged. */
const askedTime = 2500;
/** Milliseconds after which a refused caller may come back at the earliest. */
const leastReturn = 300;
/** How many times its part a node lets in of a workspace before an allotter can have said anything. */
const surgeFactor = 1.5;
/** Requests that a node lets in at once in any case while it hears from an allotter. */
const leastSurge = 3;
/** The part of its burst that a node lets in at once. */
const surgeOfBurst = 0.5;
/** Requests a second below which a workspace counts as gone from a node. */
const leastRate = 0.02;
const millisecondsPerSecond = 1000;

type Account = {
	/** Requests since the last report: all, those that the quota allowed, and those that went to a target. */
	asked: number;
	allowed: number;
	admitted: number;
	/** Requests a second that come to this node. */
	askedRate: number;
	share: number;
	grantedAt: number;
	/** The part of the workspace's requests that came to this node at the last grant; undefined before any. */
	part: number | undefined;
	/** Parts of requests that may be let in, below 1. */
	credit: number;
	/** What this node may spend of its part. */
	bucket: Bucket;
	/** The bucket holds the fixed part of a node without an allotter. */
	isFixed: boolean;
};

type Bucket = {tokens: number; at: number};

/** What a node's part depends on. */
export type QuotaShareOptions = {
	/** How many nodes there are; undefined while nobody knows. */
	nodes: () => number | undefined;
	random: Random;
	startedAt: number;
};

/** Creates the part of a node that has heard of no grant. */
export function createQuotaShare({
	nodes,
	random,
	startedAt,
}: QuotaShareOptions): QuotaShare {
	const accounts = new Map<string, Account>();
	let reportedAt = startedAt;
	let heardAt = Number.NEGATIVE_INFINITY;

	const accountOf = ({workspace}: Quota, now: number): Account => {
		let account = accounts.get(workspace);
		if (!account) {
			account = {
				asked: 0,
				allowed: 0,
				admitted: 0,
				askedRate: 0,
				share: 1,
				grantedAt: Number.NEGATIVE_INFINITY,
				part: undefined,
				credit: random.fraction(),
				bucket: {tokens: Number.POSITIVE_INFINITY, at: now},
				isFixed: false,
			};
			accounts.set(workspace, account);
		}

		return account;
	};

	const equalPart = () => 1 / (nodes() ?? Number.POSITIVE_INFINITY);

	/** Without an allotter; it begins without a burst, which may have been used already. */
	const isWithinPart = (account: Account, quota: Quota, now: number) => {
		const part = account.part ?? equalPart();
		if (!account.isFixed) {
			account.isFixed = true;
			account.bucket = {tokens: random.fraction(), at: now};
		}

		const most = Math.max(1, part * quota.burst);
		return fill(account.bucket, now, part * quota.rate, most) >= 1;
	};

	/** A demand that grows at once is bounded here until the allotters have heard of it. */
	const isWithinSurge = (account: Account, quota: Quota, now: number) => {
		account.isFixed = false;
		if (account.part === undefined) {
			return true;
		}

		const part = Math.max(account.part, equalPart());
		const most = leastSurge + surgeOfBurst * part * quota.burst;
		const perSecond = surgeFactor * part * quota.rate;
		return fill(account.bucket, now, perSecond, most) >= 1;
	};

	const isWithinShare = (account: Account, now: number): boolean => {
		const isFresh = now - account.grantedAt < contactLife;
		if (!isFresh || account.share >= 1) {
			return true;
		}

		account.credit += account.share;
		const isTaken = account.credit >= 1;
		account.credit -= isTaken ? 1 : 0;
		return isTaken;
	};

	return {
		allows(quota, now) {
			if (quota.rate === 0) {
				return true;
			}

			const account = accountOf(quota, now);
			const isAllowed =
				now - heardAt < contactLife
					? isWithinShare(account, now) && isWithinSurge(account, quota, now)
					: isWithinPart(account, quota, now);
			account.asked++;
			account.allowed += isAllowed ? 1 : 0;
			return isAllowed;
		},
		recordAdmitted({workspace}) {
			const account = accounts.get(workspace);
			if (account) {
				account.admitted++;
				account.bucket.tokens--;
			}
		},
		retryAfterTime(quota) {
			const share = accounts.get(quota.workspace)?.share ?? 1;
			const missing = (1 - share) * millisecondsPerSecond;
			return leastReturn + missing * random.fraction();
		},
		uses(now) {
			const elapsed = Math.max(1, now - reportedAt);
			reportedAt = now;
			const perSecond = millisecondsPerSecond / elapsed;
			const weight = Math.min(1, elapsed / askedTime);
			const uses: QuotaUse[] = [];
			for (const [workspace, account] of accounts) {
				const asked = expectedRuns(account) * perSecond;
				account.askedRate += weight * (asked - account.askedRate);
				if (account.asked > 0 || account.askedRate > leastRate) {
					const admitted = account.admitted * perSecond;
					uses.push({workspace, requested: asked, admitted, reserved: 0});
				}

				account.asked = 0;
				account.allowed = 0;
				account.admitted = 0;
			}

			return uses;
		},
		applyGrants(grants, now) {
			heardAt = now;
			for (const {workspace, requested: asked, share} of grants) {
				const account = accounts.get(workspace);
				if (account) {
					account.share = share;
					account.grantedAt = now;
					account.part =
						asked > 0 ? Math.min(1, account.askedRate / asked) : undefined;
				}
			}
		},
	};
}

/** The requests that would have gone to a target if the quota had allowed all. */
function expectedRuns({asked, allowed, admitted}: Account): number {
	return allowed === 0 ? asked : (asked * admitted) / allowed;
}

/** Fills a bucket with so many a second up to the most; gives what it holds. */
function fill(
	bucket: Bucket,
	now: number,
	perSecond: number,
	most: number,
): number {
	const elapsed = (now - bucket.at) / millisecondsPerSecond;
	bucket.at = now;
	bucket.tokens = Math.min(most, bucket.tokens + elapsed * perSecond);
	return bucket.tokens;
}
