/** One node of the mesh, put together: its listeners, its links and what it keeps up to date. */
import type {MeshMetrics, MeshReadings} from '@egretspoke/observability';
import type {Clock, Random} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import {createCallerListener} from './caller-listener.js';
import {createConfigurationFollower} from './configuration-follower.js';
import {createCountedStore} from './counted-store.js';
import {createDeadlineWheel} from './deadline-wheel.js';
import {egretspokePolicy, type MeshPolicy} from './decisions/mesh-policy.js';
import {createCallGraph} from './decisions/call-graph.js';
import {createCallProfile} from './decisions/call-profile.js';
import {feedStartDelay, isFeedFollower} from './decisions/feed-followers.js';
import {createInnerRoutes} from './decisions/inner-routes.js';
import {
	createRetryBudget,
	type RetryBudgetOptions,
} from './decisions/retry-budget.js';
import {createDirectory} from './directory.js';
import {createEntry} from './entry.js';
import {createGatekeeper} from './gatekeeper.js';
import {createGossip} from './gossip.js';
import type {HeaderNames} from './header-names.js';
import {createNewsHandler} from './peer-news.js';
import {waitUntilIdle} from './planned-stop.js';
import {createLearning} from './learning.js';
import {createLoadReport} from './load-report.js';
import {createMemberRegister} from './member-register.js';
import type {MeshReporter} from './mesh-reporter.js';
import {createOwnNews} from './own-news.js';
import {createPacedNews} from './paced-news.js';
import {createQuotaExchange, type QuotaTolerance} from './quota-exchange.js';
import {createPeerListener} from './peer-listener.js';
import type {Member} from './peer-message.js';
import type {RoutingConfiguration} from './route.js';
import {createRoutePressure} from './route-pressure.js';
import {createRouteTable, type RouteTable} from './route-table.js';
import type {RowAddress, RowStore} from './row-store.js';
import {createSuspectRegister} from './suspect-register.js';
import {createSuspects, toMessage} from './suspects.js';
import {createTicker} from './ticker.js';
import {createTargetBelief} from './target-belief.js';
import type {Announcement, Withdrawal} from './target-record.js';

/** What a deployment says of one node. */
export type MeshNodeSettings = {
	node: string;
	dataCentre: string;
	/** The service beside which the node runs. */
	service: string;
	/** The address of the target beside it, `ip:port`. */
	targetAddress: string;
	/** Where callers of this VM send their requests, `ip:port`. */
	callerAddress: string;
	/** Where other nodes link to, `ip:port`. */
	peerAddress: string;
	retryBudget: RetryBudgetOptions;
	quotaTolerance: QuotaTolerance;
	/** Milliseconds that a planned stop may take. */
	grace: number;
};

/** What a node needs besides its settings. */
export type MeshNodeOptions = {
	settings: MeshNodeSettings;
	clock: Clock;
	random: Random;
	store: RowStore;
	configurationRow: RowAddress;
	decodeConfiguration: (value: string) => Result<RoutingConfiguration, string>;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	/** Ours unless another is to be measured beside it. */
	policy?: MeshPolicy;
};

/** A node. */
export type MeshNode = {
	/** Opens the listeners; gives their addresses, for ports that were 0. */
	start(): Promise<{callers: string; peers: string}>;
	/** Whether callers should be sent here. */
	isReady(): boolean;
	/** Takes what the target says of itself; false when it is older than what is known. */
	announce(announcement: Announcement): Promise<boolean>;
	/** Takes a target's farewell. */
	withdraw(withdrawal: Withdrawal): Promise<boolean>;
	/** What the node shows to whoever collects its metrics. */
	readings(): MeshReadings;
	/** Takes changed settings; addresses of listeners can't change. */
	applySettings(settings: MeshNodeSettings): void;
	/** A planned stop; resolves when nothing is in flight, or when the grace is over. */
	stop(): Promise<void>;
	/** Ends at once; what is in flight is cut. */
	abort(): void;
};

/**
 * Milliseconds after the order to stop in which the target still gets work that
 * has no other target. When nodes are stopped one after the other, faster than
 * they come back, all targets of a small service are behind stopping nodes at
 * some moment; refused there, its callers get nothing for seconds. What is
 * taken in by then has the rest of the grace to end.
 */
const lastWorkTime = 2000;
/** Milliseconds between two announcements of new routes. */
const newRoutesPause = 500;
/** Milliseconds between two announcements of the version in force to a random peer. */
const versionPeriod = 2000;

/** Creates a node that is not listening yet. */
export function createMeshNode(options: MeshNodeOptions): MeshNode {
	const {clock, random, reporter, metrics, headerNames} = options;
	const store = createCountedStore(options.store, metrics);
	const policy = options.policy ?? egretspokePolicy;
	let {settings} = options;
	const self: Member = {
		node: settings.node,
		address: settings.peerAddress,
		dataCentre: settings.dataCentre,
		service: settings.service,
		startedAt: clock.date().getTime(),
	};
	const life = new AbortController();
	const wheel = createDeadlineWheel(clock);
	const ticker = createTicker(clock, life.signal);
	let routes: RouteTable | undefined;
	let isStopping = false;
	let isMembershipKnown = false;

	const innerRoutes = createInnerRoutes(self.service);
	const profile = createCallProfile();
	const graph = createCallGraph();
	const ownNews = createOwnNews({
		self,
		isStopping: () => isStopping,
		follower: () => follower,
		belief: () => belief,
		gatekeeper: () => gatekeeper,
		innerRoutes,
		profile,
	});
	/** For peers that were out of reach when the version was new. */
	const tellVersion = () => {
		const configuration = follower.current();
		if (configuration) {
			directory.tellOne({kind: 'version', version: configuration.version});
		}
	};

	const tellState = () => {
		peerListener.tellAll(ownNews.state());
	};

	const suspects = createSuspects({
		clock,
		headerNames,
		reporter,
		tellAll(message) {
			directory.tellAll(message);
			peerListener.tellAll(message);
		},
		gossip: () => suspectNews,
		register: () => suspectRegister,
	});

	const gatekeeper = createGatekeeper({
		clock,
		wheel,
		headerNames,
		reporter,
		metrics,
		policy,
		retryBudget: settings.retryBudget,
		suspects,
		profile,
		onReachable(reachable) {
			belief.setReachable(reachable);
		},
	});
	const follower = createConfigurationFollower({
		store,
		row: options.configurationRow,
		decode: options.decodeConfiguration,
		clock,
		random: random.fork(),
		startDelay: feedStartDelay(self.node),
		isFollower: () => isFeedFollower(self.node, directory.feedPeers()),
		reporter,
		onFollowing() {
			tellState();
		},
		onTaken(configuration) {
			routes = createRouteTable(configuration);
			callerListener.applyLimits(configuration.limits);
			directory.tellAll({kind: 'version', version: configuration.version});
		},
	});

	const receive = createNewsHandler({
		clock,
		follower,
		onHello(member) {
			directory.noteHello(member);
		},
		onMembers(members) {
			directory.addMembers(members, 'peer');
		},
		onSuspects: suspects.take,
		onQuotaUse(message, reply) {
			quotas.takeUse(message, reply);
		},
		onQuotaGrant(message) {
			quotas.takeGrant(message);
		},
	});
	const quotas = createQuotaExchange({
		clock,
		random: random.fork(),
		self,
		directory: () => directory,
		isMembershipKnown: () => isMembershipKnown,
		workspaces: () => follower.current()?.workspaces ?? [],
		tolerance: settings.quotaTolerance,
	});

	const onMalformed = (detail: string) => {
		reporter.notice('malformedMessage', {detail});
	};

	const directory = createDirectory({
		clock,
		random: random.fork(),
		ticker,
		self,
		hello: () => [ownNews.hello(), ...suspects.greeting()],
		onMessage: receive,
		onMalformed,
		onProfiles(peer, {service, profiles}) {
			graph.setProfiles(peer, service, profiles);
		},
		onState({service, routes: asked}) {
			innerRoutes.addPeerRoutes(service, asked);
		},
		pinned: quotas.pinned,
		onPeer(node, change) {
			if (change === 'up') {
				reporter.notice('peerConnected', {peer: node});
			} else {
				reporter.notice('peerLost', {peer: node});
			}
		},
	});
	const peerListener = createPeerListener({
		clock,
		gatekeeper,
		greet: () => [
			ownNews.hello(),
			ownNews.state(),
			ownNews.profiles(),
			...suspects.greeting(),
		],
		onMessage: receive,
		onMalformed,
	});
	const suspectNews = createGossip({
		clock,
		random: random.fork(),
		self,
		links: directory.linked,
		toMessage,
	});
	const suspectRegister = createSuspectRegister({
		store,
		node: self.node,
		clock,
		random: random.fork(),
		reporter,
		isFollower: () => isFeedFollower(self.node, directory.feedPeers()),
		onSuspects: suspects.takeStored,
	});
	const pressure = createRoutePressure({
		clock,
		graph,
		policy,
		levels() {
			const levels = directory.shedLevels();
			const {shedLevel} = gatekeeper.load();
			levels.set(
				settings.service,
				Math.max(shedLevel, levels.get(settings.service) ?? 0),
			);
			return levels;
		},
	});
	const learning = createLearning({
		clock,
		ticker,
		signal: life.signal,
		profile,
		pressure,
		onLearnt() {
			graph.setProfiles(self.node, settings.service, profile.profiles());
		},
		tell() {
			peerListener.tellAll(ownNews.profiles());
		},
	});
	const newRoutes = createPacedNews({
		clock,
		firstPause: newRoutesPause,
		longestPause: newRoutesPause,
		tell: tellState,
	});
	const entry = createEntry({
		clock,
		random: random.fork(),
		wheel,
		routes: () => routes,
		quotas,
		headerNames,
		directory,
		gatekeeper,
		budget: createRetryBudget(settings.retryBudget, random.fork()),
		policy,
		innerRoutes,
		graph,
		pressure,
		suspects,
		onNewRoute() {
			newRoutes.note();
		},
		reporter,
		metrics,
		isStopping: () => isStopping,
	});
	const callerListener = createCallerListener({
		entry,
		clock,
		headerNames,
		reporter,
		callerService: () => settings.service,
		hasWorkspaces: () => routes?.hasWorkspaces ?? true,
		isStopping: () => isStopping,
	});
	const register = createMemberRegister({
		store,
		self,
		clock,
		random: random.fork(),
		reporter,
		onMembers(members) {
			isMembershipKnown = true;
			directory.addMembers(members, 'store');
		},
		onEarlierLeaving(record) {
			belief.takeEarlierLeaving(record);
		},
	});

	const belief = createTargetBelief({
		clock,
		gatekeeper,
		reporter,
		keepLeaving: async (record) => register.keepLeaving(record),
		onChange: tellState,
	});

	const reportLoad = createLoadReport({
		clock,
		signal: life.signal,
		load: () => gatekeeper.load(),
		listeners: () => peerListener.links(),
		report(load) {
			peerListener.tellAll({kind: 'load', load});
		},
	});

	return {
		async start() {
			const [peers, callers] = await Promise.all([
				peerListener.listen(settings.peerAddress),
				callerListener.listen(settings.callerAddress),
			]);
			self.address = peers;
			void follower.run(life.signal);
			void register.run(life.signal);
			void suspectRegister.run(life.signal);
			ticker.schedule(versionPeriod, tellVersion);
			reportLoad.start();
			learning.start();
			quotas.start(ticker);
			suspects.start(ticker);
			reporter.notice('meshStarted', {
				service: settings.service,
				dataCentre: settings.dataCentre,
				callers,
				peers,
			});
			return {callers, peers};
		},
		isReady: () => routes !== undefined && !isStopping,
		announce: async (announcement) => belief.announce(announcement),
		withdraw: async (withdrawal) => belief.withdraw(withdrawal),
		readings: () => ({
			...gatekeeper.readings(),
			configurationVersion: follower.current()?.version ?? 0,
			isLeaving: isStopping,
			openRequests: entry.open(),
			members: directory.size(),
			peersConnected: directory.connected(),
			service: settings.service,
		}),
		applySettings(changed) {
			settings = changed;
			self.service = changed.service;
		},
		async stop() {
			isStopping = true;
			reporter.notice('leaving', {reason: 'planned stop'});
			tellState();
			clock.setTimer(lastWorkTime, () => {
				gatekeeper.stop();
			});
			callerListener.drain();
			await waitUntilIdle(clock, settings.grace, () => {
				callerListener.drain();
				return entry.open() === 0 && gatekeeper.held() === 0;
			});
			reporter.notice('drained', {cut: entry.open() + gatekeeper.held()});
			abort();
		},
		abort,
	};

	function abort(): void {
		life.abort();
		newRoutes.close();
		suspectNews.close();
		callerListener.close();
		peerListener.close();
		directory.close();
		gatekeeper.close();
		store.close();
	}
}
