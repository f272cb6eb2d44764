/**
 * Carries what nodes let in of workspaces' requests to the allotters, and what
 * these grant back.
 *
 * The first nodes of a data centre, in an order that all share, are its
 * allotters: the first one grants, the second one hears the same and is ready to
 * take its place. The granting one tells its sums to the allotters of the other
 * data centres. An allotter grants only while it hears from most nodes of its
 * data centre: a node that is cut off would else grant itself whole quotas.
 */
import type {Clock, Random} from '@egretspoke/shared';
import {createNameRank} from './decisions/name-rank.js';
import {createQuotaAllocation} from './decisions/quota-allocation.js';
import {
	createQuotaShare,
	type Quota,
	type QuotaUse,
} from './decisions/quota-share.js';
import type {Directory} from './directory.js';
import type {
	Member,
	PeerMessage,
	QuotaGrantMessage,
	QuotaUseMessage,
} from './peer-message.js';
import type {Ticker} from './ticker.js';
import type {Workspace} from './workspace.js';

/** How far the requests of a workspace may go beyond its quota within any span. */
export type QuotaTolerance = {
	/** Milliseconds of the span. */
	window: number;
	/** The part of the quota that may come besides. */
	overage: number;
	/** Requests that may come besides. */
	slack: number;
};

/** What the exchange needs. */
export type QuotaExchangeOptions = {
	clock: Clock;
	random: Random;
	self: Member;
	directory: () => Pick<Directory, 'members' | 'isLinked' | 'tell'>;
	/** Whether the register of members has been read. */
	isMembershipKnown: () => boolean;
	workspaces: () => readonly Workspace[];
	tolerance: QuotaTolerance;
};

/** The exchange. */
export type QuotaExchange = {
	/** Whether the quota allows one more request of the workspace. */
	allows(workspace: Workspace): boolean;
	/** A request that was allowed goes to a target. */
	noteAdmitted(workspace: Workspace): void;
	/** Milliseconds until the workspace will probably have room. */
	returnTime(workspace: Workspace): number;
	/** Members that the exchange needs links to. */
	pinned(): Iterable<string>;
	takeUse(
		message: QuotaUseMessage,
		reply: (message: PeerMessage) => void,
	): void;
	takeGrant(message: QuotaGrantMessage): void;
	start(ticker: Ticker): void;
};

/** Milliseconds between two reports. */
const reportPeriod = 400;
/** Nodes of each data centre that hear its reports. */
const allotterCount = 2;
/** Nodes to which links are kept, so that there are others when an allotter ends. */
const pinnedNear = 4;
const pinnedFar = 2;

/** The parts of the tolerance that are granted; the rest is for reports that come late. */
const grantedOverage = 0.5;
const grantedSlack = 0.12;
/** The part of a burst that is spread over a span, for demand that lies above the rate for long. */
const spreadBurst = 0.5;
const millisecondsPerSecond = 1000;

const rankOf = createNameRank('quota');

/** Creates an exchange that has not started. */
export function createQuotaExchange(
	options: QuotaExchangeOptions,
): QuotaExchange {
	const {clock, self, directory} = options;
	const startedAt = clock.now();
	const allotment = createQuotaAllocation(startedAt);
	const share = createQuotaShare({
		nodes: () =>
			options.isMembershipKnown()
				? directory().members().length + 1
				: undefined,
		random: options.random,
		startedAt,
	});

	/** What counts is a span: a part of the burst is granted all the while in place of at once. */
	const toQuota = ({name, rate, burst}: Workspace): Quota => {
		const {window, overage, slack} = options.tolerance;
		const seconds = window / millisecondsPerSecond;
		const granted = slack * grantedSlack;
		const spread = burst * spreadBurst;
		const perSecond =
			(rate + spread / seconds) * (1 + overage * grantedOverage) +
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

	/** The members of a data centre in the order in which they are allotters. */
	const rank = (members: readonly Member[], dataCentre: string): string[] =>
		members
			.filter((member) => member.dataCentre === dataCentre)
			.map(({node}) => node)
			.toSorted((left, right) => rankOf(left) - rankOf(right));

	/** As of the last look, since members change seldom and are asked for with each message. */
	let near: string[] = [self.node];
	const lookNear = () => {
		near = rank([...directory().members(), self], self.dataCentre);
	};

	const isReached = (node: string) =>
		node === self.node || directory().isLinked(node);

	const listAllotters = (ranked: string[]): string[] =>
		ranked.filter((node) => isReached(node)).slice(0, allotterCount);

	const otherDataCentres = (): Set<string> => {
		const names = new Set(
			directory()
				.members()
				.map(({dataCentre}) => dataCentre),
		);
		names.delete(self.dataCentre);
		return names;
	};

	const mayGrant = (now: number): boolean =>
		options.isMembershipKnown() &&
		allotment.isSettled(now) &&
		allotment.reportingNodes(now) * 2 > near.length;

	const reportTo = (allotter: string, uses: QuotaUse[], isFirst: boolean) => {
		const now = clock.now();
		if (allotter !== self.node) {
			directory().tell(allotter, {
				kind: 'quotaUse',
				node: self.node,
				wantsGrant: isFirst,
				uses: toTuples(uses),
			});
			return;
		}

		allotment.report({kind: 'node', name: self.node}, uses, now);
		if (isFirst && mayGrant(now)) {
			share.applyGrants(
				allotment.grants(uses.map(({workspace}) => workspace)),
				now,
			);
		}
	};

	const tellOthers = () => {
		const uses = toTuples(allotment.sums(clock.now()));
		const members = directory().members();
		for (const dataCentre of otherDataCentres()) {
			for (const allotter of listAllotters(rank(members, dataCentre))) {
				directory().tell(allotter, {
					kind: 'quotaUse',
					node: self.node,
					dataCentre: self.dataCentre,
					wantsGrant: false,
					uses,
				});
			}
		}
	};

	const exchange = () => {
		const quotas = listQuotas();
		if (quotas.length === 0) {
			return;
		}

		lookNear();
		const now = clock.now();
		allotment.update(quotas, now);
		const uses = share.uses(now);
		const allotters = listAllotters(near);
		for (const [index, allotter] of allotters.entries()) {
			reportTo(allotter, uses, index === 0);
		}

		if (allotters[0] === self.node && mayGrant(now)) {
			tellOthers();
		}
	};

	return {
		allows: (workspace) => share.allows(toQuota(workspace), clock.now()),
		noteAdmitted(workspace) {
			share.recordAdmitted(toQuota(workspace));
		},
		returnTime: (workspace) => share.retryAfterTime(toQuota(workspace)),
		pinned() {
			if (!options.workspaces().some(({rate}) => rate > 0)) {
				return [];
			}

			lookNear();
			const pinned = near.slice(0, pinnedNear);
			if (near.slice(0, allotterCount).includes(self.node)) {
				const members = directory().members();
				for (const dataCentre of otherDataCentres()) {
					pinned.push(...rank(members, dataCentre).slice(0, pinnedFar));
				}
			}

			return pinned;
		},
		takeUse({node, dataCentre, wantsGrant, uses}, reply) {
			const now = clock.now();
			allotment.report(
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
				const grants = allotment.grants(uses.map(([workspace]) => workspace));
				reply({
					kind: 'quotaGrant',
					grants: grants.map(({workspace, requested, share: part}) => [
						workspace,
						requested,
						part,
					]),
				});
			}
		},
		takeGrant({grants}) {
			share.applyGrants(
				grants.map(([workspace, requested, part]) => ({
					workspace,
					requested,
					share: part,
				})),
				clock.now(),
			);
		},
		start(ticker) {
			ticker.schedule(reportPeriod, exchange);
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
