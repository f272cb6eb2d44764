/** Entry nodes on a virtual clock with the requests of many workspaces to one service, and links that can be cut. */
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {
	createShedLevel,
	shedPeriod,
} from '../src/decisions/admission/shed-level.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {
	createRoutePressure,
	type RoutePressure,
} from '../src/entry/route-pressure.js';
import {
	encodeFrame,
	type Member,
	type PeerMessage,
} from '../src/links/peer-message.js';
import {createAllocators} from '../src/quotas/allocators.js';
import {
	createFairShareExchange,
	type FairShareExchange,
} from '../src/quotas/fair-share-exchange.js';
import {createTicker} from '../src/timing/ticker.js';

/** A workspace with its demand in requests per second, and the number of nodes that its callers use. */
export type PlayedWorkspace = {name: string; demand: number; nodes: number};

/** The structure of a fleet. */
export type FairShareFleetOptions = {
	nodes: number;
	/** Requests per second that the service can run. */
	capacity: number;
	workspaces: PlayedWorkspace[];
	seed: number;
	hasFairShares?: boolean;
};

export type FleetResult = {
	at: number;
	workspace: string;
	isServed: boolean;
	node: string;
};

const linkDelay = 5;
/** Milliseconds until nodes hear of a shed level. */
const levelDelay = 30;
const stepTime = 5;
/** Milliseconds after which a request that waits at the service fails. */
const maxWait = 300;

type FleetNode = {
	member: Member;
	pressure: RoutePressure;
	exchange: FairShareExchange;
	controller: AbortController;
};

/** Creates a fleet of three data centres. */
export function createFairShareFleet(options: FairShareFleetOptions) {
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	const results: FleetResult[] = [];
	const sent = {messages: 0, bytes: 0};
	let {workspaces} = options;
	let isCut: (from: Member, to: Member) => boolean = () => false;
	let level = 0;

	const graph = createCallGraph();
	graph.setProfiles('target', 'estimator', [
		{route: 'preview', runTime: 10, calls: [], isLeaf: true},
	]);

	const members = Array.from({length: options.nodes}, (_, index): Member => ({
		node: `node-${index}`,
		address: `10.0.0.${index}:7620`,
		dataCentre: `centre-${index % 3}`,
		service: 'any',
		startedAt: 1,
	}));
	const nodes = new Map<string, FleetNode>();

	const isLinked = (from: Member, to: string) => {
		const other = nodes.get(to);
		return other !== undefined && !isCut(from, other.member);
	};

	const count = (message: PeerMessage) => {
		sent.messages++;
		sent.bytes += encodeFrame({sentAt: 0, messages: [message]}).byteLength;
	};

	const deliver = (from: FleetNode, to: string, message: PeerMessage) => {
		count(message);
		clock.setTimer(linkDelay, () => {
			const receiver = nodes.get(to);
			if (
				message.kind !== 'fairDemand' ||
				!receiver ||
				!isLinked(from.member, to)
			) {
				return;
			}

			receiver.exchange.receiveDemand(message, (reply) => {
				count(reply);
				clock.setTimer(linkDelay, () => {
					if (
						reply.kind === 'fairTotals' &&
						nodes.get(from.member.node) === from
					) {
						from.exchange.receiveTotals(reply);
					}
				});
			});
		});
	};

	const start = (member: Member) => {
		const controller = new AbortController();
		const directory = () => ({
			members: () => members.filter((other) => other !== member),
			isLinked: (to: string) => isLinked(member, to),
			send(to: string, message: PeerMessage) {
				deliver(node, to, message);
			},
		});
		const exchange = createFairShareExchange({
			clock,
			self: member,
			directory,
			allocators: createAllocators({self: member, directory}),
			isMembershipKnown: () => true,
			workspaces: () =>
				workspaces.map(({name}) => ({
					name,
					keyDigests: [],
					priority: 1,
					rate: 0,
					burst: 0,
				})),
			takeLoads: () => pressure.takeWorkspaceLoads(),
		});
		const pressure = createRoutePressure({
			clock,
			graph,
			policy: egretspokePolicy,
			levels: () => new Map([['estimator', level]]),
			...((options.hasFairShares ?? true) && {fairShares: exchange}),
		});
		const node: FleetNode = {member, pressure, exchange, controller};
		nodes.set(member.node, node);
		const ticker = createTicker(clock, controller.signal);
		exchange.start(ticker);
		ticker.schedule(600, () => {
			pressure.refresh();
		});
	};

	for (const member of members) {
		// The nodes' periods start at different times.
		clock.setTimer(random.fraction() * 300, () => {
			start(member);
		});
	}

	clock.advanceTo(400);

	const shed = createShedLevel();
	let backlog = 0;
	let arrived = 0;
	const updateLevel = () => {
		const perPeriod = (options.capacity * shedPeriod) / 1000;
		// What runs within this step doesn't wait.
		const wait = Math.max(0, (backlog / options.capacity) * 1000 - stepTime);
		shed.update({
			wait,
			occupancy: Math.min(1, arrived / perPeriod),
			arriving: arrived / perPeriod,
			declined: 0,
			unserved: 0,
		});
		arrived = 0;
		const next = shed.value();
		clock.setTimer(levelDelay, () => {
			level = next;
		});
		clock.setTimer(shedPeriod, updateLevel);
	};

	clock.setTimer(shedPeriod, updateLevel);

	const handle = (workspace: PlayedWorkspace, index: number) => {
		const place = (index * 7 + random.below(workspace.nodes)) % options.nodes;
		const {pressure} = nodes.get(`node-${place}`)!;
		const work = {
			route: 'preview',
			service: 'estimator',
			priority: 1,
			workspace: workspace.name,
		};
		pressure.recordRequest(work);
		const isAdmitted = random.fraction() >= pressure.shareRefused(work);
		arrived += isAdmitted ? 1 : 0;
		const hasRoom = (backlog / options.capacity) * 1000 < maxWait;
		const isServed = isAdmitted && hasRoom;
		backlog += isServed ? 1 : 0;
		results.push({
			at: clock.now(),
			workspace: workspace.name,
			isServed,
			node: `node-${place}`,
		});
	};

	return {
		clock,
		results,
		sent,
		members,
		/** Sends the requests of all workspaces until the given time. */
		play(until: number) {
			while (clock.now() < until) {
				for (const [index, workspace] of workspaces.entries()) {
					const mean = (workspace.demand * stepTime) / 1000;
					let requests = Math.floor(mean);
					requests += random.fraction() < mean - requests ? 1 : 0;
					for (; requests > 0; requests--) {
						handle(workspace, index);
					}
				}

				clock.advanceTo(clock.now() + stepTime);
				backlog = Math.max(0, backlog - (options.capacity * stepTime) / 1000);
			}
		},
		/** Changes the workspaces of the configuration and their demand. */
		configure(changed: PlayedWorkspace[]) {
			workspaces = changed;
		},
		cut(isNowCut: (from: Member, to: Member) => boolean) {
			isCut = isNowCut;
		},
		/** Replaces nodes by new ones without state. */
		restart(isAffected: (member: Member) => boolean) {
			for (const member of members.filter((one) => isAffected(one))) {
				nodes.get(member.node)?.controller.abort();
				start(member);
			}
		},
	};
}

/** Requests per second that each workspace was served between two instants. */
export function servedRates(
	results: FleetResult[],
	from: number,
	until: number,
): Map<string, number> {
	const rates = new Map<string, number>();
	for (const {at, workspace, isServed} of results) {
		if (at >= from && at < until) {
			const known = rates.get(workspace) ?? 0;
			rates.set(workspace, known + (isServed ? 1000 / (until - from) : 0));
		}
	}

	return rates;
}
