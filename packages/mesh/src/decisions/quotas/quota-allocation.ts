/**
 * Enforces the quotas of workspaces over all nodes.
 *
 * Load pattern: a workspace sends many times its usual load, spread over the
 * nodes in any way; its quota limits the sum. Equal parts for all nodes would
 * refuse most requests of a small workspace whose callers use only a few of
 * them. So the nodes of a data centre report to one of them, the allocator,
 * which grants each workspace one ratio for all nodes.
 */
import {
	reportTimeout,
	type Quota,
	type QuotaGrant,
	type QuotaUse,
} from './quota-types.js';

/** The source of a report: a node of the allocator's data centre, or another data centre as a whole. */
export type Reporter = {kind: 'node' | 'dataCentre'; name: string};

/** Sums reports and grants ratios; times are in milliseconds of the steady clock. */
export type QuotaAllocation = {
	/** Stores a report; it replaces the previous one of the same reporter. */
	report(reporter: Reporter, uses: QuotaUse[], now: number): void;
	/** Accounts for the time since the last call; called once per period. */
	update(quotas: readonly Quota[], now: number): void;
	/** The sums over this data centre's nodes, for the allocators of the others. */
	sums(now: number): QuotaUse[];
	/**
	 * The grants for the named workspaces, as of the last update. A ratio is 1
	 * within the quota, else the fraction of the demand that fits.
	 */
	grants(workspaces: Iterable<string>): QuotaGrant[];
	/** The workspaces of which a part of the demand may not be admitted, as of the last update. */
	limited(): string[];
	/** The number of nodes of this data centre with a recent report. */
	reportingNodes(now: number): number;
	/** Whether a reporter has missed a report and does not count as silent yet: this node may be partitioned from it. */
	hasOverdue(now: number): boolean;
	/** Whether enough time has passed since the start for reports to arrive, so that grants are reliable. */
	isSettled(now: number): boolean;
};

/** Milliseconds after its start within which an allocator has too few reports to grant anything. */
const learningDuration = 1200;
/** Milliseconds without a report after which it is overdue: one and a half intervals of the reports. */
const overdueTime = 600;
/** The averaging time of a reporter's demand, in milliseconds. */
const averagingTime = 2500;
/**
 * Milliseconds for which the part of a silent reporter stays reserved: it may
 * be partitioned, and then it continues to spend exactly that part. Shorter for
 * a node, because its callers may have gone with it.
 */
const reservationTimeouts: Record<Reporter['kind'], number> = {
	node: 30_000,
	dataCentre: 3_600_000,
};
/**
 * Milliseconds within which a debt is repaid. Reports are late; what was
 * admitted beyond the quota in the meantime is deducted from the next second's
 * quota.
 */
const repaymentTime = 1000;
/** The maximum debt, in seconds of the rate: older excess lies outside every window. */
const maxDebt = 5;
/** Milliseconds for which the admitted requests of a period are kept. */
const periodMemory = 5000;
/** Requests that a workspace may send beyond its burst: reports of a few requests arrive unevenly. */
const tolerance = 3;
/** The demand below which a workspace is dropped, in requests per second. */
const minDemand = 0.01;
const millisecondsPerSecond = 1000;

type Demand = QuotaUse & {
	/** The moving average of its demand, in requests per second. */
	mean: number;
	/** The fraction of the workspace's requests that this reporter received, as of its last report. */
	fraction: number;
};

type Report = {
	kind: Reporter['kind'];
	at: number;
	demands: Map<string, Demand>;
};

type Sum = Omit<QuotaUse, 'workspace'>;
type Account = {
	level: number;
	requested: number;
	share: number;
	/** The rate that was reserved for silent reporters. */
	reserved: number;
	/** What was admitted in recent periods, oldest first. */
	periods: Period[];
};

/** The requests that each reporter admitted in one period, per second. */
type Period = {from: number; seconds: number; admitted: Map<string, number>};

/** Creates the allocation of a node without reports. */
export function createQuotaAllocation(startedAt: number): QuotaAllocation {
	const reports = new Map<string, Report>();
	let accounts = new Map<string, Account>();
	let updatedAt = startedAt;
	let current: readonly Quota[] = [];

	const removeExpired = (now: number) => {
		for (const [name, {kind, at}] of reports) {
			if (now - at >= reservationTimeouts[kind]) {
				reports.delete(name);
			}
		}
	};

	const meanOf = (workspace: string): number => {
		let total = 0;
		for (const {demands} of reports.values()) {
			total += demands.get(workspace)?.mean ?? 0;
		}

		return total;
	};

	/** Sums the reporters of the given kinds; silent ones count with their reserved part of the rate. */
	const sumOf = (
		{workspace, rate}: Quota,
		isCounted: (kind: Reporter['kind']) => boolean,
		now: number,
	): Sum => {
		const sum: Sum = {requested: 0, admitted: 0, reserved: 0};
		for (const {kind, at, demands} of reports.values()) {
			const demand = isCounted(kind) ? demands.get(workspace) : undefined;
			if (demand && now - at < reportTimeout) {
				sum.requested += demand.requested;
				sum.admitted += demand.admitted;
				sum.reserved += demand.reserved;
			} else if (demand) {
				sum.reserved += demand.fraction * rate;
			}
		}

		return sum;
	};

	/** What each live reporter admits. */
	const listAdmitted = ({workspace}: Quota, now: number) => {
		const admitted = new Map<string, number>();
		for (const [name, {at, demands}] of reports) {
			const rate = demands.get(workspace)?.admitted ?? 0;
			if (rate > 0 && now - at < reportTimeout) {
				admitted.set(name, rate);
			}
		}

		return admitted;
	};

	/**
	 * The level of the live reporters if only their part of the quota had been
	 * theirs from the start. Until the others count as silent, both sides of a
	 * partition admit as if they knew of each other's use.
	 */
	const levelOfLive = (
		{rate, burst}: Quota,
		{reserved, periods}: Pick<Account, 'reserved' | 'periods'>,
		now: number,
	): number => {
		const part = Math.max(0, 1 - reserved / rate);
		const max = part * (burst + tolerance);
		let level = max;
		for (const {seconds, admitted} of periods) {
			let admittedByLive = 0;
			for (const [name, perSecond] of admitted) {
				const isLive = now - (reports.get(name)?.at ?? 0) < reportTimeout;
				admittedByLive += isLive ? perSecond : 0;
			}

			level = Math.min(max, level + seconds * (part * rate - admittedByLive));
		}

		return level;
	};

	const account = (quota: Quota, now: number): Account => {
		const {requested, admitted, reserved} = sumOf(quota, () => true, now);
		const known = accounts.get(quota.workspace);
		const periods = (known?.periods ?? []).filter(
			({from}) => now - from < periodMemory,
		);
		const isPartitioned = reserved > (known?.reserved ?? 0) + minDemand;
		const level = Math.min(
			known?.level ?? tolerance,
			isPartitioned
				? levelOfLive(quota, {reserved, periods}, now)
				: Number.POSITIVE_INFINITY,
		);
		const rate = Math.max(0, quota.rate - reserved);
		const elapsed = (now - updatedAt) / millisecondsPerSecond;
		const changed = level + elapsed * (rate - admitted);
		// A silent reporter may have used the burst.
		const max = reserved > 0 ? 0 : quota.burst + tolerance;
		const bounded = Math.max(-maxDebt * quota.rate, Math.min(max, changed));
		const repayment = (bounded * millisecondsPerSecond) / repaymentTime;
		const fits = Math.max(0, rate + repayment);
		periods.push({
			from: updatedAt,
			seconds: elapsed,
			admitted: listAdmitted(quota, now),
		});
		return {
			level: bounded,
			reserved,
			periods,
			requested: meanOf(quota.workspace),
			share: requested <= fits ? 1 : fits / requested,
		};
	};

	const listLiveNodes = (now: number): Report[] =>
		[...reports.values()].filter(
			({kind, at}) => kind === 'node' && now - at < reportTimeout,
		);

	return {
		report({kind, name}, uses, now) {
			const key = `${kind} ${name}`;
			const known = reports.get(key);
			const weight = known ? Math.min(1, (now - known.at) / averagingTime) : 1;
			const demands = new Map<string, Demand>();
			for (const [workspace, {mean}] of known?.demands ?? []) {
				const decayed = mean * (1 - weight);
				if (decayed > minDemand) {
					demands.set(workspace, createDemand(workspace, decayed));
				}
			}

			for (const use of uses) {
				const mean = demands.get(use.workspace)?.mean ?? 0;
				demands.set(use.workspace, {
					...use,
					mean: mean + weight * use.requested,
					fraction: 0,
				});
			}

			reports.set(key, {kind, at: now, demands});
			for (const demand of demands.values()) {
				demand.fraction =
					demand.mean / Math.max(minDemand, meanOf(demand.workspace));
			}
		},
		update(quotas, now) {
			removeExpired(now);
			accounts = new Map(
				quotas.map((quota) => [quota.workspace, account(quota, now)]),
			);
			updatedAt = now;
			current = quotas;
		},
		sums(now) {
			const uses: QuotaUse[] = [];
			for (const quota of current) {
				const sum = sumOf(quota, (kind) => kind === 'node', now);
				if (sum.requested > 0 || sum.reserved > 0) {
					uses.push({workspace: quota.workspace, ...sum});
				}
			}

			return uses;
		},
		grants(workspaces) {
			const grants: QuotaGrant[] = [];
			for (const workspace of workspaces) {
				const known = accounts.get(workspace);
				if (known) {
					grants.push({
						workspace,
						requested: known.requested,
						share: known.share,
					});
				}
			}

			return grants;
		},
		limited: () =>
			[...accounts].flatMap(([workspace, {share}]) =>
				share < 1 ? [workspace] : [],
			),
		reportingNodes: (now) => listLiveNodes(now).length,
		hasOverdue: (now) =>
			[...reports.values()].some(
				({at}) => now - at > overdueTime && now - at < reportTimeout,
			),
		isSettled: (now) => now - startedAt >= learningDuration,
	};
}

function createDemand(workspace: string, mean: number): Demand {
	return {workspace, requested: 0, admitted: 0, reserved: 0, mean, fraction: 0};
}
