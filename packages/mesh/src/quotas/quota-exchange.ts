/**
 * Exchanges the usage and the grants of workspace quotas between nodes and
 * their allocators (`allocators.ts`).
 */
import type {Clock, Random} from '@egretspoke/shared';
import {createQuotaAllocation} from '../decisions/quotas/quota-allocation.js';
import {createQuotaShare} from '../decisions/quotas/quota-share.js';
import type {Quota, QuotaUse} from '../decisions/quotas/quota-types.js';
import type {Directory} from '../members/directory.js';
import type {
	Member,
	PeerMessage,
	QuotaGrantMessage,
	QuotaUseMessage,
} from '../links/peer-message.js';
import type {Ticker} from '../timing/ticker.js';
import type {Allocators} from './allocators.js';
import type {Workspace} from './workspace.js';

/** How far the requests of a workspace may exceed its quota within any window. */
export type QuotaTolerance = {
	/** Length of the window, in milliseconds. */
	window: number;
	/** Additional requests, as a fraction of the quota. */
	overage: number;
	/** Additional requests, as a count. */
	slack: number;
};

/** Options of `createQuotaExchange`. */
export type QuotaExchangeOptions = {
	clock: Clock;
	random: Random;
	self: Member;
	directory: () => Pick<Directory, 'members' | 'send'>;
	allocators: Allocators;
	/** Whether the register of members has been read. */
	isMembershipKnown: () => boolean;
	workspaces: () => readonly Workspace[];
	tolerance: QuotaTolerance;
};

/** Exchanges quota usage and grants with other nodes. */
export type QuotaExchange = {
	/** Whether the quota allows one more request of the workspace. */
	allows(workspace: Workspace): boolean;
	/** Records that an allowed request is sent to a target. */
	recordAdmitted(workspace: Workspace): void;
	/** Estimated milliseconds until the quota allows another request. */
	retryAfterTime(workspace: Workspace): number;
	receiveUse(
		message: QuotaUseMessage,
		reply: (message: PeerMessage) => void,
	): void;
	receiveGrant(message: QuotaGrantMessage): void;
	start(ticker: Ticker): void;
};

/** Milliseconds between two reports. */
const reportInterval = 400;

/** Fractions of the tolerance that are granted; the rest covers reports that arrive late. */
const grantedOverageRatio = 0.5;
const grantedSlackRatio = 0.12;
/** Fraction of a burst that is spread over the window, for demand that stays above the rate. */
const spreadBurstRatio = 0.5;
const millisecondsPerSecond = 1000;

/** Creates an exchange that has not started. */
export function createQuotaExchange(
	options: QuotaExchangeOptions,
): QuotaExchange {
	const {clock, self, directory, allocators} = options;
	const startedAt = clock.now();
	const allocation = createQuotaAllocation(startedAt);
	const share = createQuotaShare({
		nodes: () =>
			options.isMembershipKnown()
				? directory().members().length + 1
				: undefined,
		random: options.random,
		startedAt,
	});

	/** The limit applies to a window, so a fraction of the burst is granted continuously instead of at once. */
	const toQuota = ({name, rate, burst}: Workspace): Quota => {
		const {window, overage, slack} = options.tolerance;
		const seconds = window / millisecondsPerSecond;
		const granted = slack * grantedSlackRatio;
		const spread = burst * spreadBurstRatio;
		const perSecond =
			(rate + spread / seconds) * (1 + overage * grantedOverageRatio) +
			granted / seconds;
		return {
			workspace: name,
			rate: rate === 0 ? 0 : perSecond,
			burst: burst - spread + granted,
		};
	};

	const listQuotas = (): Quota[] =>
		options
			.workspaces()
			.flatMap((workspace) => (workspace.rate > 0 ? [toQuota(workspace)] : []));

	/**
	 * Only while a majority of the nodes of the data centre report to this one,
	 * because an isolated node would otherwise grant itself whole quotas.
	 */
	const mayGrant = (now: number): boolean =>
		options.isMembershipKnown() &&
		allocation.isSettled(now) &&
		allocators.isMajority(allocation.reportingNodes(now));

	/** Limited workspaces are granted to every node: otherwise each would admit its first request of one. */
	const listGranted = (reported: string[]): Set<string> =>
		new Set([...reported, ...allocation.limited()]);

	const reportTo = (allocator: string, uses: QuotaUse[], isFirst: boolean) => {
		const now = clock.now();
		if (allocator !== self.node) {
			directory().send(allocator, {
				kind: 'quotaUse',
				node: self.node,
				wantsGrant: isFirst,
				uses: toTuples(uses),
			});
			return;
		}

		allocation.report({kind: 'node', name: self.node}, uses, now);
		if (isFirst && mayGrant(now)) {
			const apply = allocation.hasOverdue(now)
				? share.applyDoubtfulGrants
				: share.applyGrants;
			apply(
				allocation.grants(listGranted(uses.map(({workspace}) => workspace))),
				now,
			);
		}
	};

	/**
	 * Sends the totals of the granting allocator to the allocators of the other
	 * data centres.
	 */
	const sendTotals = () => {
		const uses = toTuples(allocation.sums(clock.now()));
		for (const allocator of allocators.remote()) {
			directory().send(allocator, {
				kind: 'quotaUse',
				node: self.node,
				dataCentre: self.dataCentre,
				wantsGrant: false,
				uses,
			});
		}
	};

	const exchange = () => {
		const quotas = listQuotas();
		if (quotas.length === 0) {
			return;
		}

		allocators.update();
		const now = clock.now();
		allocation.update(quotas, now);
		const uses = share.uses(now);
		const local = allocators.local();
		for (const [index, allocator] of local.entries()) {
			reportTo(allocator, uses, index === 0);
		}

		if (local[0] === self.node && mayGrant(now)) {
			sendTotals();
		}
	};

	return {
		allows: (workspace) => share.allows(toQuota(workspace), clock.now()),
		recordAdmitted(workspace) {
			share.recordAdmitted(toQuota(workspace));
		},
		retryAfterTime: (workspace) => share.retryAfterTime(toQuota(workspace)),
		receiveUse({node, dataCentre, wantsGrant, uses}, reply) {
			const now = clock.now();
			allocation.report(
				dataCentre === undefined
					? {kind: 'node', name: node}
					: {kind: 'dataCentre', name: dataCentre},
				uses.map(([workspace, requested, admitted, reserved]) => ({
					workspace,
					requested,
					admitted,
					reserved,
				})),
				now,
			);
			if (wantsGrant && mayGrant(now)) {
				const grants = allocation.grants(
					listGranted(uses.map(([workspace]) => workspace)),
				);
				reply({
					kind: 'quotaGrant',
					grants: grants.map(({workspace, requested, share: grantedShare}) => [
						workspace,
						requested,
						grantedShare,
					]),
				});
			}
		},
		receiveGrant({grants}) {
			share.applyGrants(
				grants.map(([workspace, requested, grantedShare]) => ({
					workspace,
					requested,
					share: grantedShare,
				})),
				clock.now(),
			);
		},
		start(ticker) {
			ticker.schedule(reportInterval, exchange);
		},
	};
}

function toTuples(uses: QuotaUse[]): QuotaUseMessage['uses'] {
	return uses.map(({workspace, requested, admitted, reserved}) => [
		workspace,
		roundToTenth(requested),
		roundToTenth(admitted),
		roundToTenth(reserved),
	]);
}

function roundToTenth(value: number): number {
	return Math.round(value * 10) / 10;
}
