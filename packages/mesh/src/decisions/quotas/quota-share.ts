/**
 * Enforces one node's part of the quotas of workspaces.
 *
 * Load pattern: a workspace sends many times its usual load over all nodes at
 * once, and no node sees the total. So each node reports its requested and
 * admitted rates to an allocator (`quota-allocation.ts`) and receives the ratio
 * of requests that all nodes together may admit; it is 1 while a workspace is
 * within its quota, and nothing is refused then.
 */
import type {Random} from '@egretspoke/shared';
import {
	reportTimeout,
	type Quota,
	type QuotaGrant,
	type QuotaUse,
} from './quota-types.js';

/** One node's part of the quotas; times are in milliseconds of the steady clock. */
export type QuotaShare = {
	/** Whether the quota allows one more request. */
	allows(quota: Quota, now: number): boolean;
	/** Records that an allowed request is handed to a target; requests refused for other reasons don't use the quota. */
	recordAdmitted(quota: Quota): void;
	/** Milliseconds until the quota will probably allow a request. */
	retryAfterTime(quota: Quota): number;
	/** The use since the last call. */
	uses(now: number): QuotaUse[];
	/** Applies the grants of an allocator; an empty list only shows that the allocator is reachable. */
	applyGrants(grants: QuotaGrant[], now: number): void;
	/**
	 * Applies a node's grants to itself while it may be partitioned: its own
	 * demand is the only one that it still sees rising, so its parts don't grow.
	 */
	applyDoubtfulGrants(grants: QuotaGrant[], now: number): void;
};

/** Milliseconds without a message of an allocator after which a node spends a fixed part. */
const allocatorTimeout = 1000;
/** Milliseconds for which the parts of earlier grants are kept. */
const partMemory = 2 * reportTimeout;
/** The averaging time of the requests at this node, in milliseconds. */
const averagingTime = 2500;
/** The minimum retry time of a refused caller, in milliseconds. */
const minRetryAfter = 300;
/** A node's admission limit before the allocator can have reacted, as a multiple of its part. */
const surgeFactor = 1.5;
/** The minimum number of requests that a node admits at once while it receives grants. */
const minSurge = 3;
/** The fraction of its burst that a node admits at once. */
const surgeBurstRatio = 0.5;
/** The maximum debt, in seconds of the rate: older excess lies outside every window. */
const maxDebt = 5;
/** The rate below which a workspace counts as gone from a node, in requests per second. */
const minRate = 0.02;
const millisecondsPerSecond = 1000;

type Account = {
	/** Requests since the last report: all, those that the quota allowed, and those handed to a target. */
	requested: number;
	allowed: number;
	admitted: number;
	/** The moving average of the requests at this node, per second. */
	requestRate: number;
	/**
	 * The same as of the report before the last one. The total of a grant is from
	 * reports that are older by about one interval, and while demand rises,
	 * newer rates would add up to more than that total.
	 */
	previousRate: number;
	share: number;
	grantedAt: number;
	/** The fraction of the workspace's requests that this node received, as of the last grant; undefined before any. */
	part: number | undefined;
	/** The parts as of recent grants, oldest first. */
	recentParts: Array<{part: number; at: number}>;
	/** The accumulated fraction of a request that may be admitted, below 1. */
	credit: number;
	/** The token bucket of this node's part. */
	bucket: Bucket;
	/** What is left of this node's part of the quota. */
	own: Bucket;
	/** The bucket holds the fixed part of a node without recent grants. */
	isFixed: boolean;
};

type Bucket = {tokens: number; at: number};

/** What a node's part of the quotas depends on. */
export type QuotaShareOptions = {
	/** The number of nodes; undefined while unknown. */
	nodes: () => number | undefined;
	random: Random;
	startedAt: number;
};

/** Creates the quota enforcement of a node without grants. */
export function createQuotaShare({
	nodes,
	random,
	startedAt,
}: QuotaShareOptions): QuotaShare {
	const accounts = new Map<string, Account>();
	let reportedAt = startedAt;
	let contactAt = Number.NEGATIVE_INFINITY;

	const accountOf = (workspace: string, now: number): Account => {
		let account = accounts.get(workspace);
		if (!account) {
			account = {
				requested: 0,
				allowed: 0,
				admitted: 0,
				requestRate: 0,
				previousRate: 0,
				share: 1,
				grantedAt: Number.NEGATIVE_INFINITY,
				part: undefined,
				recentParts: [],
				credit: random.fraction(),
				bucket: {tokens: Number.POSITIVE_INFINITY, at: now},
				own: {tokens: 0, at: now},
				isFixed: false,
			};
			accounts.set(workspace, account);
		}

		return account;
	};

	const equalPart = () => 1 / (nodes() ?? Number.POSITIVE_INFINITY);

	/**
	 * Applies without recent grants: the node is partitioned or has just
	 * started. It then spends a fixed part of the quota: the fraction of the
	 * workspace's requests that it received when it last knew the total, else
	 * an equal part. The parts add up to the quota, however the nodes are
	 * partitioned. What it admitted beyond its part before it knew of the
	 * partition is a debt, and its part of the burst is left only if unspent.
	 */
	const isWithinPart = (account: Account, quota: Quota, now: number) => {
		const part = settledPart(account) ?? equalPart();
		if (!account.isFixed) {
			account.isFixed = true;
			const unspent = fillPart(account, quota, now);
			// Spreads the first requests of nodes whose parts allow less than one at once.
			account.bucket = {tokens: unspent + random.fraction(), at: now};
		}

		const max = Math.max(1, part * quota.burst);
		return fill(account.bucket, now, part * quota.rate, max) >= 1;
	};

	/** Adds what this node's part has allowed since the last call; returns what is left of it, negative if more was admitted. */
	const fillPart = (account: Account, quota: Quota, now: number): number => {
		const part = settledPart(account) ?? equalPart();
		const {own} = account;
		fill(own, now, part * quota.rate, part * quota.burst);
		own.tokens = Math.max(
			own.tokens,
			-Math.max(1, maxDebt * part * quota.rate),
		);
		return own.tokens;
	};

	/**
	 * The part as of a grant before the partition. Until the allocators count the
	 * unreachable nodes as silent, they still grant, and the part of a node whose
	 * demand rises would grow at the expense of nodes that don't know of it.
	 */
	const settledPart = ({recentParts}: Account): number | undefined =>
		recentParts.findLast(({at}) => at <= contactAt - reportTimeout)?.part;

	/** Limits a sudden increase of demand until the allocators have received reports of it. */
	const isWithinSurge = (account: Account, quota: Quota, now: number) => {
		account.isFixed = false;
		if (account.part === undefined) {
			return true;
		}

		const part = Math.max(account.part, equalPart());
		const max = minSurge + surgeBurstRatio * part * quota.burst;
		const perSecond = surgeFactor * part * quota.rate;
		return fill(account.bucket, now, perSecond, max) >= 1;
	};

	const isWithinShare = (account: Account, now: number): boolean => {
		const isFresh = now - account.grantedAt < allocatorTimeout;
		if (!isFresh || account.share >= 1) {
			return true;
		}

		account.credit += account.share;
		const isAdmitted = account.credit >= 1;
		account.credit -= isAdmitted ? 1 : 0;
		return isAdmitted;
	};

	const applyGrants = (grants: QuotaGrant[], now: number) => {
		contactAt = now;
		for (const grant of grants) {
			applyGrant(accountOf(grant.workspace, now), grant, now);
		}
	};

	return {
		allows(quota, now) {
			if (quota.rate === 0) {
				return true;
			}

			const account = accountOf(quota.workspace, now);
			fillPart(account, quota, now);
			const isAllowed =
				now - contactAt < allocatorTimeout
					? isWithinShare(account, now) && isWithinSurge(account, quota, now)
					: isWithinPart(account, quota, now);
			account.requested++;
			account.allowed += isAllowed ? 1 : 0;
			return isAllowed;
		},
		recordAdmitted({workspace}) {
			const account = accounts.get(workspace);
			if (account) {
				account.admitted++;
				account.bucket.tokens--;
				account.own.tokens--;
			}
		},
		retryAfterTime(quota) {
			const share = accounts.get(quota.workspace)?.share ?? 1;
			const missing = (1 - share) * millisecondsPerSecond;
			return minRetryAfter + missing * random.fraction();
		},
		uses(now) {
			const elapsed = Math.max(1, now - reportedAt);
			reportedAt = now;
			const perSecond = millisecondsPerSecond / elapsed;
			const weight = Math.min(1, elapsed / averagingTime);
			const uses: QuotaUse[] = [];
			for (const [workspace, account] of accounts) {
				const requested = expectedRuns(account) * perSecond;
				account.previousRate = account.requestRate;
				account.requestRate += weight * (requested - account.requestRate);
				if (account.requested > 0 || account.requestRate > minRate) {
					const admitted = account.admitted * perSecond;
					uses.push({workspace, requested, admitted, reserved: 0});
				}

				account.requested = 0;
				account.allowed = 0;
				account.admitted = 0;
			}

			return uses;
		},
		applyGrants,
		applyDoubtfulGrants(grants, now) {
			applyGrants(grants, now);
			for (const {workspace} of grants) {
				const account = accountOf(workspace, now);
				account.part = settledPart(account) ?? account.part;
			}
		},
	};
}

/** Applies a grant to the account of its workspace. */
function applyGrant(
	account: Account,
	{requested, share}: QuotaGrant,
	now: number,
): void {
	account.share = share;
	account.grantedAt = now;
	account.recentParts = account.recentParts.filter(
		({at}) => now - at <= partMemory,
	);
	if (requested === 0 || account.requestRate === 0) {
		account.part = undefined;
		return;
	}

	account.part = Math.min(1, account.requestRate / requested);
	account.recentParts.push({
		part: Math.min(1, account.previousRate / requested),
		at: now,
	});
}

/** The number of requests that would have been handed to a target if the quota had allowed all of them. */
function expectedRuns({requested, allowed, admitted}: Account): number {
	return allowed === 0 ? requested : (requested * admitted) / allowed;
}

/** Refills a token bucket up to `max`; returns its tokens. */
function fill(
	bucket: Bucket,
	now: number,
	perSecond: number,
	max: number,
): number {
	const elapsed = (now - bucket.at) / millisecondsPerSecond;
	bucket.at = now;
	bucket.tokens = Math.min(max, bucket.tokens + elapsed * perSecond);
	return bucket.tokens;
}
