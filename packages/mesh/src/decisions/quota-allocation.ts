/**
 * Keeps the quotas of workspaces over all nodes.
 *
 * Load pattern: a workspace sends many times its usual load, spread over nodes
 * in any way; its quota holds for the sum. Equal parts for the nodes would
 * refuse most requests of a small workspace, whose callers sit beside a few of
 * them. So the nodes of a data centre report to one of them, which exchanges
 * its sums with those of the other data centres and grants each workspace one
 * share for all nodes: 1 within the quota, else the part of the demand that fits.
 *
 * Reports come late. What was let in beyond the quota until then is kept as a
 * debt, and is paid back out of the next second's part.
 *
 * Of a reporter that falls silent, its part of the quota stays reserved for a
 * while: it may be cut off, and goes on to spend just that.
 */
import type {Quota, QuotaGrant, QuotaUse} from './quota-share.js';

/** Who reports: a node of the allotter's data centre, or another data centre as a whole. */
export type Reporter = {kind: 'node' | 'dataCentre'; name: string};

/** Sums reports and grants shares; instants by the steady clock, in milliseconds. */
export type QuotaAllocation = {
	/** Takes a report; a later one of the same reporter replaces it. */
	report(reporter: Reporter, uses: QuotaUse[], now: number): void;
	/** Accounts for the time since the last call; to be called in each period. */
	update(quotas: readonly Quota[], now: number): void;
	/** The sums of this data centre's nodes. */
	sums(now: number): QuotaUse[];
	/** Shares of the named workspaces, as of the last update. */
	grants(workspaces: Iterable<string>): QuotaGrant[];
	/** How many nodes of this data centre have reported lately. */
	reportingNodes(now: number): number;
	/** Whether it has heard enough to grant anything. */
	isSettled(now: number): boolean;
};

/** Milliseconds after its start in which an allotter has heard too little to grant anything. */
const learningTime = 1200;
/** Milliseconds without a report after which a reporter counts as silent. */
const reportLife = 1200;
/** Milliseconds over which the demand of a reporter is averaged. */
const demandTime = 2500;
/** Milliseconds for which the part of a silent reporter stays reserved: the callers of a node may have gone with it. */
const reservedTimes: Record<Reporter['kind'], number> = {
	node: 30_000,
	dataCentre: 3_600_000,
};
/** Milliseconds within which a debt is paid back. */
const paybackTime = 1000;
/** The most that is kept as a debt, in seconds of the rate: what lies further back than any window matters to nobody. */
const longestDebt = 5;
/** Requests that a workspace may send besides its burst: reports of a few requests come unevenly. */
const tolerance = 3;
/** Requests a second below which a demand is forgotten. */
const leastDemand = 0.01;
const millisecondsPerSecond = 1000;

type Demand = QuotaUse & {
	/** Requests a second, averaged. */
	mean: number;
	/** The part of the workspace's requests that came to the reporter when it reported last. */
	part: number;
};

type Report = {
	kind: Reporter['kind'];
	at: number;
	demands: Map<string, Demand>;
};

type Sum = Omit<QuotaUse, 'workspace'>;
type Account = {level: number; asked: number; share: number};

/** Creates the allotment of a node that has heard no report. */
export function createQuotaAllocation(startedAt: number): QuotaAllocation {
	const reports = new Map<string, Report>();
	let accounts = new Map<string, Account>();
	let updatedAt = startedAt;
	let current: readonly Quota[] = [];

	const forgetGone = (now: number) => {
		for (const [name, {kind, at}] of reports) {
			if (now - at >= reservedTimes[kind]) {
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

	/** The sum over the reporters of the kinds; silent ones may spend their part of the rate. */
	const sumOf = (
		{workspace, rate}: Quota,
		isCounted: (kind: Reporter['kind']) => boolean,
		now: number,
	): Sum => {
		const sum: Sum = {requested: 0, admitted: 0, reserved: 0};
		for (const {kind, at, demands} of reports.values()) {
			const demand = isCounted(kind) ? demands.get(workspace) : undefined;
			if (demand && now - at < reportLife) {
				sum.requested += demand.requested;
				sum.admitted += demand.admitted;
				sum.reserved += demand.reserved;
			} else if (demand) {
				sum.reserved += demand.part * rate;
			}
		}

		return sum;
	};

	const account = (quota: Quota, now: number): Account => {
		const {
			requested: asked,
			admitted,
			reserved,
		} = sumOf(quota, () => true, now);
		const level = accounts.get(quota.workspace)?.level ?? tolerance;
		const rate = Math.max(0, quota.rate - reserved);
		const elapsed = (now - updatedAt) / millisecondsPerSecond;
		const changed = level + elapsed * (rate - admitted);
		// Whoever can't be heard may have used the burst.
		const most = reserved > 0 ? 0 : quota.burst + tolerance;
		const bounded = Math.max(
			-longestDebt * quota.rate,
			Math.min(most, changed),
		);
		const payback = (bounded * millisecondsPerSecond) / paybackTime;
		const fits = Math.max(0, rate + payback);
		return {
			level: bounded,
			asked: meanOf(quota.workspace),
			share: asked <= fits ? 1 : fits / asked,
		};
	};

	const listLiveNodes = (now: number): Report[] =>
		[...reports.values()].filter(
			({kind, at}) => kind === 'node' && now - at < reportLife,
		);

	return {
		report({kind, name}, uses, now) {
			const key = `${kind} ${name}`;
			const known = reports.get(key);
			const weight = known ? Math.min(1, (now - known.at) / demandTime) : 1;
			const demands = new Map<string, Demand>();
			for (const [workspace, {mean}] of known?.demands ?? []) {
				const faded = mean * (1 - weight);
				if (faded > leastDemand) {
					demands.set(workspace, createDemand(workspace, faded));
				}
			}

			for (const use of uses) {
				const mean = demands.get(use.workspace)?.mean ?? 0;
				demands.set(use.workspace, {
					...use,
					mean: mean + weight * use.requested,
					part: 0,
				});
			}

			reports.set(key, {kind, at: now, demands});
			for (const demand of demands.values()) {
				demand.part =
					demand.mean / Math.max(leastDemand, meanOf(demand.workspace));
			}
		},
		update(quotas, now) {
			forgetGone(now);
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
					grants.push({workspace, requested: known.asked, share: known.share});
				}
			}

			return grants;
		},
		reportingNodes: (now) => listLiveNodes(now).length,
		isSettled: (now) => now - startedAt >= learningTime,
	};
}

function createDemand(workspace: string, mean: number): Demand {
	return {workspace, requested: 0, admitted: 0, reserved: 0, mean, part: 0};
}
