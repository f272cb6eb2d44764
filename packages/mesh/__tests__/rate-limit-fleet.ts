/**
 * Simulates one service on a virtual clock, with the entry, the dispatcher and
 * the load reports of each node. Its targets name rate limits in their answers.
 */
import {createMeshMetrics} from '@egretspoke/observability';
import {
	createRandom,
	createVirtualClock,
	type Random,
} from '@egretspoke/shared';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createDeadlineWheel} from '../src/timing/deadline-wheel.js';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {createCallProfile} from '../src/decisions/admission/call-profile.js';
import {createInnerRoutes} from '../src/decisions/admission/inner-routes.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {createRetryBudget} from '../src/decisions/repeats/retry-budget.js';
import {levelOfService} from '../src/decisions/admission/service-level.js';
import type {Directory} from '../src/members/directory.js';
import {
	idleLoad,
	isRateLimited,
	type TargetLoad,
} from '../src/links/exchange.js';
import {createLoadReport} from '../src/target/load-report.js';
import {createTicker} from '../src/timing/ticker.js';
import {applyLoad, createPeer, type Peer} from '../src/links/peer.js';
import type {PeerLink} from '../src/links/peer-link.js';
import type {Member} from '../src/links/peer-message.js';
import {createServiceCandidates} from '../src/members/service-candidates.js';
import {
	createForwardingContext,
	forwardRequest,
} from '../src/entry/request-forwarding.js';
import {createRoutePressure} from '../src/entry/route-pressure.js';
import {createRouteTable} from '../src/configuration/route-table.js';
import type {
	TargetClient,
	TargetClientOptions,
} from '../src/target/target-client.js';
import {
	createTargetDispatcher,
	type TargetDispatcher,
} from '../src/target/target-dispatcher.js';

/** Size and load of a fleet. */
export type RateLimitFleetOptions = {
	nodes: number;
	seed: number;
	dataCentres?: number;
	/** Requests that each target runs at once. */
	slots?: number;
	/** The rate limit of a target at a time, in requests per second; undefined without one. */
	limitOf: (target: number, now: number) => number | undefined;
};

/** The load of a period. */
export type FleetLoad = {
	/** Requests per second over all entries. */
	perSecond: number;
	until: number;
	/** The entries that receive requests; all by default. */
	entries?: number;
	/** The share of requests with high priority. */
	importantShare?: number;
};

/** A request that ended. */
export type EndedRequest = {
	at: number;
	isImportant: boolean;
	status: number;
	/** Why this node refused it; empty if a target answered. */
	reason: string;
	retryAfter: number | undefined;
};

const service = 'orders';
const objective = 1000;
/** Latency between two nodes, in milliseconds. */
const linkLatency = 2;
/** Mean run time of a request, in milliseconds. */
const meanRunTime = 60;
const millisecondsPerSecond = 1000;
const headerNames = {
	requestId: 'request-id',
	timeLeft: 'time-left',
	expectedTarget: 'expected-target',
	callerService: 'calling-service',
	workspaceKey: 'workspace-key',
	workspace: 'workspace',
	signature: 'signature',
	notExecuted: 'declined',
	rateLimit: 'rate-limit',
	leaving: 'leaving',
};
const metrics = createMeshMetrics();

const routes = createRouteTable({
	version: 1,
	routes: [
		{name: 'important', priority: 0},
		{name: 'ordinary', priority: 2},
	].map(({name, priority}) => ({
		name,
		priority,
		host: 'shop.example',
		prefix: `/${name}/`,
		isIdempotent: true,
		timeout: 3000,
		objective,
		attempts: 2,
		services: [{service, weight: 1}],
		isPublic: true,
	})),
	limits: {headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1},
});

type FleetNode = {
	member: Member;
	dispatcher: TargetDispatcher;
	peers: Map<string, Peer>;
	send: (isImportant: boolean) => void;
};

/** Creates a fleet without load. */
export function createRateLimitFleet(options: RateLimitFleetOptions) {
	const {slots = 20, dataCentres = 3} = options;
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	const arrivals: number[][] = Array.from({length: options.nodes}, () => []);
	const ended: EndedRequest[] = [];
	let retries = 0;
	const reporter = {
		notice: () => undefined,
		decision(name: string) {
			retries += name === 'meshSentAgain' ? 1 : 0;
		},
	};

	/** Answers each request after a random run time. */
	const createClient = (
		index: number,
		{onNotice, nextOrdinal}: TargetClientOptions,
	): TargetClient => ({
		run(_request, _timeLeft, onOutcome) {
			const ordinal = nextOrdinal();
			arrivals[index]!.push(clock.now());
			const runTime = meanRunTime * (0.5 + random.fraction());
			const timer = clock.setTimer(runTime, () => {
				const perSecond = options.limitOf(index, clock.now());
				onNotice(
					{
						rateLimit:
							perSecond === undefined
								? {kind: 'unlimited'}
								: {kind: 'limited', perSecond},
						isLeaving: false,
					},
					ordinal,
				);
				onOutcome({
					kind: 'answered',
					status: 200,
					headers: [],
					body: new Uint8Array(),
				});
			});
			return () => {
				timer.cancel();
			};
		},
		close: () => undefined,
	});

	const createLink = (to: TargetDispatcher): PeerLink => {
		let outstanding = 0;
		return {
			isUsable: () => true,
			isSilent: () => false,
			silence: () => 0,
			outstanding: () => outstanding,
			isUnused: () => true,
			send(request, onOutcome) {
				outstanding++;
				let cancel: () => void = () => undefined;
				clock.setTimer(linkLatency, () => {
					cancel = to.send(request, (outcome, load) => {
						clock.setTimer(linkLatency, () => {
							outstanding--;
							onOutcome(outcome, load);
						});
					});
				});
				return () => {
					cancel();
				};
			},
			sendMessage: () => true,
			retryNow: () => undefined,
			probe: () => false,
			retire: () => undefined,
			close: () => undefined,
		};
	};

	const createNode = (index: number): FleetNode => {
		const member: Member = {
			node: `node-${index}`,
			address: `10.0.0.${index}:7620`,
			dataCentre: `centre-${index % dataCentres}`,
			service,
			startedAt: 1,
		};
		const wheel = createDeadlineWheel(clock);
		const dispatcher = createTargetDispatcher({
			budget: createMemoryBudget(350_000_000),
			clock,
			wheel,
			headerNames,
			reporter,
			metrics,
			policy: egretspokePolicy,
			profile: createCallProfile(),
			retryBudget: {ratio: 0.2, allowance: 48, window: 10_000},
			suspects: {
				lookUp: () => undefined,
				recordCrash: () => [],
				recordAnswer: () => undefined,
			},
			onReachable: () => undefined,
			onLeaving: () => undefined,
			createClient: (clientOptions) => createClient(index, clientOptions),
		});
		dispatcher.setTarget({
			targetId: `target-${index}`,
			startedAt: 1,
			sequence: 1,
			service,
			address: '10.0.0.1:80',
			slots,
			isLeaving: false,
			warmUpLeft: 0,
			hasLeft: false,
		});
		const peers = new Map<string, Peer>();
		const send = createEntry({
			member,
			dispatcher,
			peers,
			wheel,
			random: random.fork(),
		});
		return {member, dispatcher, peers, send};
	};

	type EntryOptions = Pick<FleetNode, 'member' | 'dispatcher' | 'peers'> & {
		wheel: ReturnType<typeof createDeadlineWheel>;
		random: Random;
	};

	const createEntry = ({
		member,
		dispatcher,
		peers,
		wheel,
		random: entryRandom,
	}: EntryOptions) => {
		const candidates = createServiceCandidates(peers, {
			dataCentre: member.dataCentre,
			clock,
			onLoad(from, load) {
				applyLoad(from, load, clock.now());
			},
		});
		const directory: Pick<Directory, 'candidates' | 'size'> = {
			size: () => options.nodes,
			candidates: candidates.list,
		};
		const graph = createCallGraph();
		graph.setProfiles(
			member.node,
			service,
			['important', 'ordinary'].map((route) => ({
				route,
				runTime: meanRunTime,
				calls: [],
				isLeaf: true,
			})),
		);
		const toLevel = (load: TargetLoad) => ({
			shedLevel: load.shedLevel,
			isRateLimited: isRateLimited(load),
		});
		const pressure = createRoutePressure({
			clock,
			graph,
			policy: egretspokePolicy,
			levels: () =>
				new Map([
					[
						service,
						levelOfService(
							[...peers.values()].map(({load}) => toLevel(load)),
							toLevel(dispatcher.load()),
						),
					],
				]),
		});
		const refresh = () => {
			pressure.refresh();
			clock.setTimer(600, refresh);
		};

		refresh();
		const forwarding = createForwardingContext({
			clock,
			random: entryRandom,
			wheel,
			directory,
			dispatcher,
			budget: createRetryBudget(
				{ratio: 0.2, allowance: 48, window: 10_000},
				entryRandom.fork(),
			),
			innerRoutes: createInnerRoutes(service),
			graph,
			pressure,
			suspects: {lookUp: () => undefined},
			onNewRoute: () => undefined,
			policy: egretspokePolicy,
			reporter,
			metrics,
			quotas: {recordAdmitted: () => undefined},
			isStopping: () => false,
		});
		return (isImportant: boolean) => {
			const name = isImportant ? 'important' : 'ordinary';
			const path = `/${name}/1`;
			forwardRequest(
				forwarding,
				{
					requestId: 'any',
					method: 'GET',
					host: 'shop.example',
					path,
					headers: [],
					body: undefined,
					bodyHold: undefined,
					workspaceKey: undefined,
					arrivedAt: clock.now(),
					timeLeft: 3000,
				},
				{
					route: routes.findRoute('shop.example', path)!,
					urgency: isImportant ? 0 : 1,
					workspace: undefined,
					decidedBy: {configuration: 1},
				},
				(final) => {
					if (final) {
						ended.push({
							at: clock.now(),
							isImportant,
							status: final.status,
							reason: 'reason' in final ? final.reason : '',
							retryAfter: 'retryAfter' in final ? final.retryAfter : undefined,
						});
					}
				},
			);
		};
	};

	const nodes = Array.from({length: options.nodes}, (_, index) =>
		createNode(index),
	);
	for (const from of nodes) {
		for (const to of nodes) {
			if (to !== from) {
				const peer = createPeer(to.member, createLink(to.dispatcher), 0);
				const {node, ...address} = to.member;
				peer.state = {
					kind: 'state',
					isStopping: false,
					isFollowing: false,
					service,
					routes: [],
					load: to.dispatcher.load(),
					target: {
						...address,
						targetId: node,
						sequence: 1,
						isLeaving: false,
						isReachable: true,
						slots,
					},
				};
				from.peers.set(node, peer);
			}
		}
	}

	for (const {member, dispatcher} of nodes) {
		const {signal} = new AbortController();
		const receivers = new Set(
			nodes.flatMap(({peers}) => {
				const peer = peers.get(member.node);
				return peer
					? [
							{
								load: idleLoad,
								report(load: TargetLoad) {
									clock.setTimer(linkLatency, () => {
										applyLoad(peer, load, clock.now());
									});
								},
							},
						]
					: [];
			}),
		);
		createLoadReport({
			clock,
			signal,
			ticker: createTicker(clock, signal),
			load: () => dispatcher.load(),
			receivers: () => receivers,
		}).start();
	}

	return {
		/** Sends requests at random instants until the given time. */
		run({
			perSecond,
			until,
			entries = options.nodes,
			importantShare = 0.3,
		}: FleetLoad) {
			const sendNext = () => {
				const pause =
					(-Math.log(1 - random.fraction()) / perSecond) *
					millisecondsPerSecond;
				if (clock.now() + pause < until) {
					clock.setTimer(pause, () => {
						nodes[random.below(entries)]!.send(
							random.fraction() < importantShare,
						);
						sendNext();
					});
				}
			};

			sendNext();
			clock.advanceTo(until);
		},
		/** The most requests that a target got in any window of the length that starts at `from` or later. */
		maxInWindow(target: number, from: number, length: number): number {
			const times = arrivals[target]!.filter((at) => at >= from);
			let start = 0;
			let most = 0;
			for (const [end, at] of times.entries()) {
				while (times[start]! <= at - length) {
					start++;
				}

				most = Math.max(most, end - start + 1);
			}

			return most;
		},
		/** The requests that a target got from `from` on, per second. */
		rateOf: (target: number, from: number) =>
			(arrivals[target]!.filter((at) => at >= from).length *
				millisecondsPerSecond) /
			(clock.now() - from),
		endedSince: (from: number) => ended.filter(({at}) => at >= from),
		retries: () => retries,
	};
}
