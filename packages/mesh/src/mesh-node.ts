/** One node of the mesh: creates its listeners, links, registers and followers, and connects them. */
import type {Server} from 'node:http';
import type {MeshMetrics, MeshReadings} from '@egretspoke/observability';
import {
	createConnectionBudget,
	createSupervisor,
	createVersionTracker,
	guardServer,
	shortRequestLimits,
	type Clock,
	type Random,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import {createCallerListener} from './entry/caller-listener.js';
import {createConfigurationFollower} from './configuration/configuration-follower.js';
import {createDecidingVersion} from './configuration/deciding-version.js';
import {createCountedStore} from './configuration/counted-store.js';
import {createDeadlineWheel} from './timing/deadline-wheel.js';
import {egretspokePolicy, type MeshPolicy} from './decisions/mesh-policy.js';
import {createCallGraph} from './decisions/admission/call-graph.js';
import {
	connectionMemoryShare,
	createMemoryBudget,
	type Collect,
} from './decisions/memory/memory-budget.js';
import {createCallProfile} from './decisions/admission/call-profile.js';
import {
	feedStartDelay,
	isFeedFollower,
	isFirstFollower,
} from './decisions/routing/feed-followers.js';
import {createInnerRoutes} from './decisions/admission/inner-routes.js';
import {
	createRetryBudget,
	type RetryBudgetOptions,
} from './decisions/repeats/retry-budget.js';
import {createDirectory, followerQuietTime} from './members/directory.js';
import {createEntry} from './entry/entry.js';
import {createTargetDispatcher} from './target/target-dispatcher.js';
import {createGossip} from './members/gossip.js';
import {createNodeListeners} from './node-listeners.js';
import type {HeaderNames} from './configuration/header-names.js';
import {createUpdateHandler} from './links/peer-updates.js';
import {createPlannedStop} from './planned-stop.js';
import {createProfileUpdates} from './entry/profile-updates.js';
import {createLoadReport} from './target/load-report.js';
import {createMemberRegister} from './members/member-register.js';
import {createLimitedNotices} from './limited-notices.js';
import type {MeshReporter} from './mesh-reporter.js';
import {createLocalStateMessages} from './target/local-state.js';
import {createThrottledUpdates} from './timing/throttled-updates.js';
import type {QuotaTolerance} from './quotas/quota-exchange.js';
import {createWorkspaceExchanges} from './quotas/workspace-exchanges.js';
import {createPeerListener} from './links/peer-listener.js';
import type {Member, PeerMessage} from './links/peer-message.js';
import type {
	ConfigurationFault,
	RoutingConfiguration,
} from './configuration/route.js';
import {createRoutePressure} from './entry/route-pressure.js';
import {createServiceStates} from './entry/service-states.js';
import {
	createRouteTable,
	type RouteTable,
} from './configuration/route-table.js';
import type {RowAddress, RowStore} from './configuration/row-store.js';
import {createSuspectRegister} from './suspects/suspect-register.js';
import {createSuspects, toMessage} from './suspects/suspects.js';
import {createTicker, tickInterval} from './timing/ticker.js';
import {createTargetTracker} from './target/target-tracker.js';
import type {Announcement, Withdrawal} from './target/target-record.js';

/** Settings of one node in a deployment. */
export type MeshNodeSettings = {
	node: string;
	dataCentre: string;
	/** The service of the local target. */
	service: string;
	/** Address of the local target, `ip:port`. */
	targetAddress: string;
	/** Listen address for callers on this VM, `ip:port`. */
	callerAddress: string;
	/** Listen address for links from other nodes, `ip:port`. */
	peerAddress: string;
	retryBudget: RetryBudgetOptions;
	quotaTolerance: QuotaTolerance;
	/** Maximum duration of a planned stop, in milliseconds. */
	grace: number;
	/** Memory of the process in bytes, above which the platform ends it; fixed at the start. */
	memory: number;
	/** Maximum number of open descriptors of the process; fixed at the start. */
	descriptors: number;
};

/** Settings and dependencies of a node. */
export type MeshNodeOptions = {
	settings: MeshNodeSettings;
	clock: Clock;
	random: Random;
	store: RowStore;
	configurationRow: RowAddress;
	decodeConfiguration: (
		value: string,
	) => Result<RoutingConfiguration, ConfigurationFault>;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	metrics: MeshMetrics;
	/** Runs the garbage collector; without it, dropped bodies take memory for longer. */
	collect?: Collect;
	/** Defaults to `egretspokePolicy`; other policies are for comparison. */
	policy?: MeshPolicy;
};

/** A node of the mesh. */
export type MeshNode = {
	/**
	 * Opens the listeners, and tries again while an address is taken; resolves with
	 * their addresses, with the assigned ports in place of 0. Rejects with Node's
	 * error if an address can't be used, or if the node is stopped meanwhile.
	 */
	start(): Promise<{callers: string; peers: string}>;
	/** Whether callers should send requests to this node. */
	isReady(): boolean;
	/** What the node waits for before it is ready, and which of its parts have failed lately. */
	condition(): NodeCondition;
	/** Applies an announcement of the local target; resolves with false if it is older than the recorded state. */
	announce(announcement: Announcement): Promise<boolean>;
	/** Applies a withdrawal of the local target. */
	withdraw(withdrawal: Withdrawal): Promise<boolean>;
	/** Returns the current values for the metrics endpoint. */
	readings(): MeshReadings;
	/** Applies changed settings; the addresses of listeners cannot change. */
	applySettings(settings: MeshNodeSettings): void;
	/** Performs a planned stop; resolves when no request is in flight or the grace period is over. */
	stop(): Promise<void>;
	/** Stops at once and cuts the requests in flight. */
	abort(): void;
	/** Bounds the connections of another listener of the process, together with those of the node. */
	guardListener(server: Server): void;
};

/** What keeps a node from being ready, and what it has to do without. */
export type NodeCondition = {
	/** What is missing before the node is ready; empty once it is. */
	waitingFor: string[];
	/** Loops that have failed and have not run healthily since. */
	failing: string[];
};

/** Milliseconds between two announcements of newly requested routes. */
const newRoutesInterval = 500;
/** Milliseconds between two announcements of the configuration version to a random peer. */
const versionInterval = 2000;

/** Descriptors for files, and the share of the others for accepted connections; the node opens connections itself. */
const reservedDescriptors = 200;
const connectionShare = 0.75;
const minConnections = 64;

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
	const budget = createMemoryBudget(settings.memory, options.collect);
	const connectionBudget = createConnectionBudget({
		clock,
		limits: {
			bytes: settings.memory * connectionMemoryShare,
			connections: Math.max(
				minConnections,
				(settings.descriptors - reservedDescriptors) * connectionShare,
			),
		},
		onCheck() {
			callerListener.refuseStalled();
		},
	});
	const lifetime = new AbortController();
	const wheel = createDeadlineWheel(clock);
	const ticker = createTicker(
		clock,
		lifetime.signal,
		createLimitedNotices(clock, (error: unknown) => {
			reporter.notice('periodicWorkFailed', {detail: describe(error)});
		}),
	);
	const supervisor = createSupervisor(
		clock,
		({path, error, restartIn}) => {
			reporter.notice('childFailed', {
				path,
				restartIn,
				detail: describe(error),
			});
		},
		'node',
		lifetime.signal,
	);
	let routes: RouteTable | undefined;
	const plannedStop = createPlannedStop({
		clock,
		reporter,
		grace: () => settings.grace,
		parts: () => ({entry, dispatcher, callerListener, peerListener}),
		announce() {
			broadcastState();
		},
	});
	const isStopping = () => plannedStop.schedule() !== undefined;
	let isMembershipKnown = false;

	const innerRoutes = createInnerRoutes(self.service);
	const profile = createCallProfile();
	const graph = createCallGraph();
	const localState = createLocalStateMessages({
		self,
		isStopping,
		follower: () => follower,
		targetTracker: () => targetTracker,
		dispatcher: () => dispatcher,
		innerRoutes,
		profile,
	});
	/** For peers that were unreachable when the version was announced to all. */
	const announceVersion = () => {
		const message = localState.version();
		if (message) {
			directory.sendToRandomPeer(message);
		}
	};

	/** Shows the nodes that rely on this follower of the feed that it is alive. */
	const announceToQuiet = () => {
		const message = follower.isFollowing() ? localState.version() : undefined;
		if (message) {
			peerListener.sendToQuiet(message, followerQuietTime);
		}
	};

	const broadcastState = () => {
		peerListener.broadcast(localState.state());
	};

	const suspects = createSuspects({
		clock,
		headerNames,
		reporter,
		broadcast(message) {
			directory.broadcast(message);
			peerListener.broadcast(message);
		},
		gossip: () => suspectGossip,
		register: () => suspectRegister,
	});

	const dispatcher = createTargetDispatcher({
		clock,
		wheel,
		headerNames,
		budget,
		reporter,
		metrics,
		policy,
		retryBudget: settings.retryBudget,
		suspects,
		profile,
		onLeaving() {
			const incarnation = targetTracker.incarnation();
			if (incarnation) {
				targetTracker.recordLeaving(incarnation);
			}
		},
		onReachable(reachable) {
			targetTracker.setReachable(reachable);
		},
	});
	const versions = createVersionTracker(clock);
	const follower = createConfigurationFollower({
		store,
		row: options.configurationRow,
		decode: options.decodeConfiguration,
		clock,
		random: random.fork(),
		startDelay: feedStartDelay(self.node),
		ticker,
		isFollower: () => isFeedFollower(self.node, directory.feedPeers()),
		isFirstFollower: () => isFirstFollower(self.node, directory.feedPeers()),
		reporter,
		versions,
		onFollowingChange() {
			broadcastState();
		},
		onApplied(configuration) {
			routes = createRouteTable(configuration);
			callerListener.applyLimits(configuration.limits);
			const message: PeerMessage = {
				kind: 'version',
				version: configuration.version,
			};
			directory.broadcast(message);
			if (follower.isFollowing()) {
				peerListener.broadcast(message);
			}
		},
	});

	const workspaceExchanges = createWorkspaceExchanges({
		clock,
		random: random.fork(),
		self,
		directory: () => directory,
		isMembershipKnown: () => isMembershipKnown,
		workspaces: () => follower.current()?.workspaces ?? [],
		tolerance: settings.quotaTolerance,
		pressure: () => pressure,
		reporter,
	});
	const receive = createUpdateHandler({
		clock,
		follower,
		versions,
		reporter,
		onHello: (member) => directory.recordHello(member),
		onMembers(members) {
			directory.addMembers(members, 'peer');
		},
		onSuspects: suspects.receive,
		onTargetMemory(message) {
			if (message.rateLimit !== undefined) {
				dispatcher.adoptRateLimit(message, message.rateLimit);
			}

			if (message.isLeaving) {
				targetTracker.recordLeaving(message);
			}
		},
		...workspaceExchanges.handlers,
	});
	const onMalformed = createLimitedNotices(clock, (detail: string) => {
		reporter.notice('malformedMessage', {detail});
	});

	const onUnread = (bytes: number) => {
		reporter.notice('meshPeerNotReading', {bytes});
	};

	const directory = createDirectory({
		clock,
		random: random.fork(),
		budget,
		ticker,
		self,
		hello: () => [localState.hello(), ...suspects.initialMessages()],
		onMessage: receive,
		onMalformed,
		onUnread,
		onProfiles(peer, {service, profiles}) {
			graph.setProfiles(peer, service, profiles);
		},
		onState({service, routes: requested}) {
			innerRoutes.addPeerRoutes(service, requested);
		},
		pinned: workspaceExchanges.pinned,
		onDisplaced() {
			register.rewrite();
		},
		onLost(peer, loss) {
			reporter.notice('meshRequestsLost', {peer, ...loss});
		},
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
		budget,
		connectionBudget,
		dispatcher,
		initialMessages: () => [
			localState.hello(),
			localState.state(),
			localState.profiles(),
			...suspects.initialMessages(),
		],
		onMessage: receive,
		onMalformed,
		onUnread,
		onRequest() {
			reportLoad.recordRequest();
		},
		onError(error) {
			reporter.notice('listenerFailed', {
				listener: 'peers',
				detail: error.message,
			});
		},
	});
	const suspectGossip = createGossip({
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
		onSuspects: suspects.applyStored,
	});
	const services = createServiceStates({
		clock,
		policy,
		directory,
		dispatcher,
		reporter,
	});
	const pressure = createRoutePressure({
		clock,
		graph,
		policy,
		...services,
		fairShares: workspaceExchanges.fairShares,
	});
	const profileUpdates = createProfileUpdates({
		clock,
		ticker,
		signal: lifetime.signal,
		profile,
		pressure,
		onProfileChange() {
			graph.setProfiles(self.node, settings.service, profile.profiles());
		},
		announce() {
			peerListener.broadcast(localState.profiles());
		},
	});
	const newRouteUpdates = createThrottledUpdates({
		clock,
		initialInterval: newRoutesInterval,
		maxInterval: newRoutesInterval,
		send: broadcastState,
	});
	const entry = createEntry({
		clock,
		random: random.fork(),
		wheel,
		routes: () => routes,
		decidedBy: createDecidingVersion(versions, () => routes?.version ?? 0),
		quotas: workspaceExchanges.quotas,
		headerNames,
		directory,
		dispatcher,
		budget: createRetryBudget(settings.retryBudget, random.fork()),
		policy,
		innerRoutes,
		graph,
		pressure,
		suspects,
		onNewRoute() {
			newRouteUpdates.schedule();
		},
		reporter,
		metrics,
		isStopping,
		stop: plannedStop.schedule,
	});
	const callerListener = createCallerListener({
		entry,
		clock,
		headerNames,
		reporter,
		metrics,
		budget,
		connectionBudget,
		callerService: () => settings.service,
		hasWorkspaces: () => routes?.hasWorkspaces ?? true,
		isStopping,
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
			targetTracker.restoreLeaving(record);
		},
	});

	const targetTracker = createTargetTracker({
		clock,
		dispatcher,
		reporter,
		persistLeaving: async (record) => register.persistLeaving(record),
		onChange: broadcastState,
	});

	const reportLoad = createLoadReport({
		clock,
		signal: lifetime.signal,
		ticker,
		load: () => dispatcher.load(),
		receivers: () => peerListener.links,
	});

	const listeners = createNodeListeners({
		clock,
		listeners: {peers: peerListener, callers: callerListener},
		onFailure(failure) {
			reporter.notice('listenerWaiting', failure);
		},
	});

	return {
		async start() {
			supervisor.startLoop('configuration', follower.run);
			const [peers, callers] = await Promise.all([
				listeners.open('peers', settings.peerAddress),
				listeners.open('callers', settings.callerAddress),
			]);
			self.address = peers;
			supervisor.startLoop('members', register.run);
			supervisor.startLoop('suspects', suspectRegister.run);
			ticker.schedule(versionInterval, announceVersion);
			ticker.schedule(tickInterval, announceToQuiet);
			reportLoad.start();
			profileUpdates.start();
			workspaceExchanges.start(ticker);
			suspects.start(ticker);
			reporter.notice('meshStarted', {
				service: settings.service,
				dataCentre: settings.dataCentre,
				callers,
				peers,
			});
			return {callers, peers};
		},
		isReady: () =>
			routes !== undefined && listeners.closed().length === 0 && !isStopping(),
		condition: () => ({
			waitingFor: [
				...(routes === undefined ? ['a configuration'] : []),
				...listeners.closed().map((name) => `the listener ${name}`),
				...(isStopping() ? ['the end of its planned stop'] : []),
			],
			failing: supervisor.failing().map(({path}) => path),
		}),
		announce: async (announcement) => targetTracker.announce(announcement),
		withdraw: async (withdrawal) => targetTracker.withdraw(withdrawal),
		readings: () => ({
			...dispatcher.readings(),
			...services.readings(),
			configurationVersion: follower.current()?.version ?? 0,
			versions: versions.readings(),
			isLeaving: isStopping(),
			openRequests: entry.open(),
			members: directory.size(),
			heldBytes: {...budget.held, connections: connectionBudget.held()},
			workspacesAboveShare: pressure.workspacesAboveShare(),
			peersConnected: directory.connected(),
			service: settings.service,
		}),
		applySettings(changed) {
			settings = changed;
			self.service = changed.service;
		},
		async stop() {
			listeners.giveUp();
			try {
				if (listeners.hasOpened()) {
					await plannedStop.run();
				}
			} finally {
				abort();
			}
		},
		abort,
		guardListener(server) {
			guardServer(server, {
				budget: connectionBudget,
				limits: shortRequestLimits,
			});
		},
	};

	function abort(): void {
		listeners.giveUp();
		lifetime.abort();
		newRouteUpdates.close();
		suspectGossip.close();
		callerListener.close();
		peerListener.close();
		directory.close();
		dispatcher.close();
		store.close();
	}
}

function describe(error: unknown): string {
	return error instanceof Error
		? (error.stack ?? error.message)
		: String(error);
}
