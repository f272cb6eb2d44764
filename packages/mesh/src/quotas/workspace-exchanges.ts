/** The exchanges about workspaces between nodes, quotas and fair shares, with the allocators that both use. */
import type {Clock, Random} from '@egretspoke/shared';
import type {RoutePressure} from '../entry/route-pressure.js';
import type {UpdateHandlerOptions} from '../links/peer-updates.js';
import type {Member} from '../links/peer-message.js';
import type {Directory} from '../members/directory.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {Ticker} from '../timing/ticker.js';
import {createAllocators} from './allocators.js';
import {
	createFairShareExchange,
	type FairShareExchange,
	type LocalLoad,
} from './fair-share-exchange.js';
import {
	createQuotaExchange,
	type QuotaExchange,
	type QuotaTolerance,
} from './quota-exchange.js';
import type {Workspace} from './workspace.js';

/** Options of `createWorkspaceExchanges`. */
export type WorkspaceExchangesOptions = {
	clock: Clock;
	random: Random;
	self: Member;
	directory: () => Pick<Directory, 'members' | 'isLinked' | 'send'>;
	/** Whether the register of members has been read. */
	isMembershipKnown: () => boolean;
	workspaces: () => readonly Workspace[];
	tolerance: QuotaTolerance;
	pressure: () => Pick<
		RoutePressure,
		'takeWorkspaceLoads' | 'workspacesAboveShare'
	>;
	reporter: Pick<MeshReporter, 'notice'>;
};

/** The exchanges about workspaces. */
export type WorkspaceExchanges = {
	quotas: QuotaExchange;
	fairShares: FairShareExchange;
	/** Handlers of the messages of both exchanges. */
	handlers: Pick<
		UpdateHandlerOptions,
		'onQuotaUse' | 'onQuotaGrant' | 'onFairDemand' | 'onFairTotals'
	>;
	/** Members that the exchanges need links to. */
	pinned(): Iterable<string>;
	start(ticker: Ticker): void;
};

/** Creates exchanges that have not started. */
export function createWorkspaceExchanges(
	options: WorkspaceExchangesOptions,
): WorkspaceExchanges {
	const allocators = createAllocators(options);
	const quotas = createQuotaExchange({...options, allocators});
	const fairShares = createFairShareExchange({
		...options,
		allocators,
		takeLoads: createLoadReader(options),
	});
	return {
		quotas,
		fairShares,
		pinned: () => (options.workspaces().length > 0 ? allocators.pinned() : []),
		handlers: {
			onQuotaUse: quotas.receiveUse,
			onQuotaGrant: quotas.receiveGrant,
			onFairDemand: fairShares.receiveDemand,
			onFairTotals: fairShares.receiveTotals,
		},
		start(ticker) {
			quotas.start(ticker);
			fairShares.start(ticker);
		},
	};
}

/** Reads the loads, and reports when workspaces come to be above their share and when no service is full any more. */
function createLoadReader({
	pressure,
	reporter,
}: Pick<WorkspaceExchangesOptions, 'pressure' | 'reporter'>) {
	let isReported = false;
	return (): LocalLoad[] | undefined => {
		const aboveShare = pressure().workspacesAboveShare();
		const loads = pressure().takeWorkspaceLoads();
		if (isReported ? !loads : aboveShare > 0) {
			isReported = !isReported;
			reporter.notice('meshFairSharesChanged', {
				workspaces: isReported ? aboveShare : 0,
			});
		}

		return loads;
	};
}
