/**
 * Exchanges the demand of workspaces on full services: nodes report it to the
 * allocators (`allocators.ts`), which reply with the sums over all nodes.
 *
 * Nothing is sent while no service is full or the configuration has no
 * workspaces. A node reports its totals, the workspaces that the allocator has
 * listed, and the largest of the others, so that the length of a message
 * doesn't depend on the number of all workspaces.
 */
import type {Clock} from '@egretspoke/shared';
import {
	createFairShareAllocation,
	listedRatio,
	type LoadReport,
} from '../decisions/quotas/fair-share-allocation.js';
import {fairShareOf, type Weights} from '../decisions/quotas/fair-share.js';
import type {Directory} from '../members/directory.js';
import type {
	FairDemandMessage,
	FairTotalsMessage,
	Member,
	PeerMessage,
} from '../links/peer-message.js';
import type {Ticker} from '../timing/ticker.js';
import type {Allocators} from './allocators.js';
import type {Workspace} from './workspace.js';

/** The demand of one priority on a full service at this node, with all of its workspaces. */
export type LocalLoad = Omit<LoadReport, 'workspaces'> & {
	workspaces: ReadonlyMap<string, number>;
};

/** Options of `createFairShareExchange`. */
export type FairShareExchangeOptions = {
	clock: Clock;
	self: Member;
	directory: () => Pick<Directory, 'send'>;
	allocators: Allocators;
	/** Whether the register of members has been read. */
	isMembershipKnown: () => boolean;
	workspaces: () => readonly Workspace[];
	/** The demand at this node since the last call; undefined while no service is full. */
	takeLoads: () => LocalLoad[] | undefined;
};

/** Exchanges demand and shares with other nodes. */
export type FairShareExchange = {
	/** The sums over all nodes for that priority of the full service; undefined while no allocator has sent any recently. */
	totalsOf(service: string, priority: number): LoadReport | undefined;
	/** The weights of the workspaces, as of the last exchange. */
	weights(): Weights;
	receiveDemand(
		message: FairDemandMessage,
		reply: (message: PeerMessage) => void,
	): void;
	receiveTotals(message: FairTotalsMessage): void;
	start(ticker: Ticker): void;
};

/** Milliseconds between two reports. */
const reportInterval = 400;
/** Milliseconds without sums after which the shed level alone decides. */
const totalsTimeout = 1000;
/** The maximum number of workspaces per priority of a service that a node reports beyond the listed ones. */
const maxCandidates = 16;

/** Creates an exchange that has not started. */
export function createFairShareExchange(
	options: FairShareExchangeOptions,
): FairShareExchange {
	const {clock, self, directory, allocators} = options;
	const allocation = createFairShareAllocation();
	let weights: Weights = new Map();
	let totals = new Map<string, LoadReport>();
	let totalsAt = Number.NEGATIVE_INFINITY;

	const applyTotals = (loads: LoadReport[]) => {
		totalsAt = clock.now();
		totals = new Map(
			loads.map((load) => [keyOf(load.service, load.priority), load]),
		);
	};

	/** A restarted allocator knows nothing until a majority has reported. */
	const maySendTotals = () =>
		options.isMembershipKnown() &&
		allocators.isMajority(allocation.reportingNodes(clock.now()));

	const toReport = (load: LocalLoad): LoadReport => ({
		...load,
		workspaces: selectWorkspaces(
			load,
			totals.get(keyOf(load.service, load.priority)),
			weights,
		),
	});

	const reportLoads = (loads: LocalLoad[], allocator: string | undefined) => {
		const reports = loads.map((load) => toReport(load));
		if (allocator === self.node) {
			allocation.report({kind: 'node', name: self.node}, reports, clock.now());
		} else if (allocator !== undefined) {
			directory().send(allocator, {
				kind: 'fairDemand',
				node: self.node,
				loads: toTuples(reports),
			});
		}
	};

	const sendToDataCentres = () => {
		const loads = toTuples(allocation.sums(clock.now()));
		for (const allocator of allocators.remote()) {
			directory().send(allocator, {
				kind: 'fairDemand',
				node: self.node,
				dataCentre: self.dataCentre,
				loads,
			});
		}
	};

	const exchange = () => {
		weights = new Map(
			options.workspaces().map(({name, weight}) => [name, weight ?? 1]),
		);
		const loads = weights.size > 0 ? options.takeLoads() : undefined;
		const isAllocating = allocation.reportingNodes(clock.now()) > 0;
		if (weights.size === 0 || (!loads && !isAllocating)) {
			allocation.clear();
			totals.clear();
			return;
		}

		allocators.update();
		const [allocator] = allocators.local();
		reportLoads(loads ?? [], allocator);
		allocation.update(weights, clock.now());
		if (allocator === self.node && maySendTotals()) {
			applyTotals(allocation.totals());
			sendToDataCentres();
		}
	};

	return {
		totalsOf: (service, priority) =>
			clock.now() - totalsAt < totalsTimeout
				? totals.get(keyOf(service, priority))
				: undefined,
		weights: () => weights,
		receiveDemand({node, dataCentre, loads}, reply) {
			allocation.report(
				dataCentre === undefined
					? {kind: 'node', name: node}
					: {kind: 'dataCentre', name: dataCentre},
				fromTuples(loads),
				clock.now(),
			);
			if (dataCentre === undefined && maySendTotals()) {
				reply({kind: 'fairTotals', loads: toTuples(allocation.totals())});
			}
		},
		receiveTotals({loads}) {
			applyTotals(fromTuples(loads));
		},
		start(ticker) {
			ticker.schedule(reportInterval, exchange);
		},
	};
}

/**
 * Selects the listed workspaces, and the largest of those that may be above
 * their share: a workspace whose demand is spread over the nodes like all
 * demand has that part of it here.
 */
function selectWorkspaces(
	{total, workspaces}: LocalLoad,
	sums: LoadReport | undefined,
	weights: Weights,
): LoadReport['workspaces'] {
	const known = new Map(sums?.workspaces);
	const minDemand = sums
		? listedRatio * shareOf(sums, known, weights) * (total / sums.total)
		: 0;
	const listed: LoadReport['workspaces'] = [];
	const candidates: LoadReport['workspaces'] = [];
	for (const [workspace, demand] of workspaces) {
		if (known.has(workspace)) {
			listed.push([workspace, demand]);
		} else if (demand > minDemand * (weights.get(workspace) ?? 1)) {
			candidates.push([workspace, demand]);
		}
	}

	candidates.sort(([, left], [, right]) => right - left);
	return [...listed, ...candidates.slice(0, maxCandidates)];
}

function shareOf(
	{total, refused}: LoadReport,
	listed: ReadonlyMap<string, number>,
	weights: Weights,
): number {
	return fairShareOf({total, admitted: total - refused, listed}, weights);
}

function keyOf(service: string, priority: number): string {
	return `${priority} ${service}`;
}

function toTuples(loads: LoadReport[]): FairDemandMessage['loads'] {
	return loads.map(({service, priority, level, total, refused, workspaces}) => [
		service,
		priority,
		roundToTenThousandth(level),
		roundToTenth(total),
		roundToTenth(refused),
		workspaces.map(([workspace, demand]) => [workspace, roundToTenth(demand)]),
	]);
}

function fromTuples(loads: FairDemandMessage['loads']): LoadReport[] {
	return loads.map(
		([service, priority, level, total, refused, workspaces]) => ({
			service,
			priority,
			level,
			total,
			refused,
			workspaces,
		}),
	);
}

function roundToTenth(value: number): number {
	return Math.round(value * 10) / 10;
}

function roundToTenThousandth(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
