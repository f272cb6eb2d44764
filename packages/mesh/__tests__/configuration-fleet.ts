/**
 * A fleet of configuration followers on a virtual clock, with links that can go
 * silent, nodes that can be suspended, and a shared store. It finds nodes whose
 * configuration is older than the bound allows.
 */
import {
	createRandom,
	createVersionTracker,
	createVirtualClock,
	type Clock,
} from '@egretspoke/shared';
import {ok} from 'neverthrow';
import {
	createConfigurationFollower,
	type ConfigurationFollower,
} from '../src/configuration/configuration-follower.js';
import type {RoutingConfiguration} from '../src/configuration/route.js';
import {
	feedStartDelay,
	isFeedFollower,
	isFirstFollower,
} from '../src/decisions/routing/feed-followers.js';
import {idleProbeTimeout} from '../src/links/peer-link.js';
import type {PeerMessage} from '../src/links/peer-message.js';
import {
	createUpdateHandler,
	type UpdateHandler,
} from '../src/links/peer-updates.js';
import {
	followerQuietTime,
	followerSilenceTimeout,
} from '../src/members/directory.js';
import {createTicker, tickInterval} from '../src/timing/ticker.js';
import {createStallingStore, type StoreClient} from './stalling-store.js';

/** Size and faults of a fleet. */
export type ConfigurationFleetOptions = {nodes: number; seed: number};

/** A node whose configuration was older than the bound allows. */
export type StaleNode = {at: number; node: string; inForce: number};

/** Milliseconds within which a confirmed version must be in force. */
const applyBound = 2000;
/** Milliseconds after a fault of its own from which a node must meet the bound. */
const stabilityWindow = 3000;
const linkLatency = 1;
/** Upper bound of a node's open connections to the store that no call uses at a time. */
const maxIdleConnections = 2;
/** Milliseconds from the silence of a link to the use of a new connection: with requests on it, and without. */
const busyLinkReplacement = 1300;
const idleLinkReplacement = idleProbeTimeout + 1200;

const row = {table: 'settings', key: 'newest'};
const configurationOf = (version: number): RoutingConfiguration => ({
	version,
	routes: [],
	limits: {
		headerBytes: 1000,
		bodyBytes: 1000,
		headerTime: 1000,
		idleTime: 1000,
	},
});

/** A connection; messages are lost while it is silent. */
type Connection = {
	isSilent: boolean;
	isClosed: boolean;
	/** Time at which the dialling node received the last message. */
	receivedAt: number;
	/** Time at which the accepting node sent the last message. */
	sentAt: number;
	/** Whether the accepting node follows the feed, as it last reported; undefined before the first report. */
	isFollowing: boolean | undefined;
};

type FleetNode = {
	name: string;
	/** Connections that this node opened, by the node they lead to. */
	dialled: Map<FleetNode, Connection>;
	store: StoreClient;
	follower: ConfigurationFollower;
	receive: UpdateHandler;
	/** What waits until the node is resumed; undefined while it runs. */
	suspended: Array<() => void> | undefined;
	/** Time of the latest fault at this node. */
	faultAt: number;
};

/** Creates a fleet in which each node has opened a link to all others. */
export function createConfigurationFleet({
	nodes: size,
	seed,
}: ConfigurationFleetOptions) {
	const clock = createVirtualClock();
	const random = createRandom(seed);
	const lifetime = new AbortController();
	const nodes: FleetNode[] = [];
	/** Links that carry requests, as `from to`; silence is noticed sooner on them. */
	const busyLinks = new Set<string>();
	const stale: StaleNode[] = [];
	const store = createStallingStore(clock, row);

	/** Runs the callback at the node, after its suspension if it is suspended. */
	const runAt = (node: FleetNode, callback: () => void) => {
		if (node.suspended) {
			node.suspended.push(callback);
		} else {
			callback();
		}
	};

	const clockOf = (nodeOf: () => FleetNode): Clock => ({
		now: clock.now,
		date: clock.date,
		setTimer(delay, callback) {
			let isCancelled = false;
			const timer = clock.setTimer(delay, () => {
				runAt(nodeOf(), () => {
					if (!isCancelled) {
						callback();
					}
				});
			});
			return {
				cancel() {
					isCancelled = true;
					timer.cancel();
				},
			};
		},
	});

	/** Sends over a connection in either direction; returns false if it was closed. */
	const send = (
		connection: Connection,
		from: FleetNode,
		to: FleetNode,
		message: PeerMessage,
	): boolean => {
		if (connection.isClosed) {
			return false;
		}

		const isToDialling = to.dialled.get(from) === connection;
		if (isToDialling) {
			connection.sentAt = clock.now();
		}

		clock.setTimer(linkLatency, () => {
			runAt(to, () => {
				if (!connection.isSilent) {
					deliver(connection, from, to, message);
				}
			});
		});
		return true;
	};

	const deliver = (
		connection: Connection,
		from: FleetNode,
		to: FleetNode,
		message: PeerMessage,
	) => {
		if (to.dialled.get(from) === connection) {
			connection.receivedAt = clock.now();
		}

		if (message.kind === 'state') {
			connection.isFollowing = message.isFollowing;
			return;
		}

		to.receive(
			message,
			(reply) => send(connection, to, from, reply),
			from.name,
		);
	};

	const accepted = (node: FleetNode) =>
		nodes.flatMap((other) => {
			const connection = other.dialled.get(node);
			return connection ? [{other, connection}] : [];
		});

	const stateOf = (node: FleetNode): PeerMessage => ({
		kind: 'state',
		isStopping: false,
		isFollowing: node.follower.isFollowing(),
		target: undefined,
		load: {
			occupancy: 0,
			shedLevel: 0,
			failureShare: 0,
			runTime: 0,
			declined: 0,
			declineLevel: 0,
			demand: 0,
			heldLevel: 0,
		},
		service: 'any',
		routes: [],
	});

	const helloOf = (node: FleetNode): PeerMessage => ({
		kind: 'hello',
		member: {
			node: node.name,
			address: `${node.name}:1`,
			dataCentre: 'any',
			service: 'any',
			startedAt: 1,
		},
		configurationVersion: node.follower.current()?.version ?? 0,
	});

	/** Opens a connection unless the other node is suspended; the earlier one is closed. */
	const dial = (node: FleetNode, other: FleetNode) => {
		const earlier = node.dialled.get(other);
		if (earlier) {
			earlier.isClosed = true;
		}

		node.dialled.delete(other);
		if (other.suspended) {
			return;
		}

		const connection: Connection = {
			isSilent: false,
			isClosed: false,
			receivedAt: clock.now(),
			sentAt: clock.now(),
			isFollowing: undefined,
		};
		node.dialled.set(other, connection);
		send(connection, node, other, helloOf(node));
		send(connection, other, node, helloOf(other));
		send(connection, other, node, stateOf(other));
	};

	/** Probes the links of a node: an answer keeps a link, silence replaces it. */
	const probe = (node: FleetNode) => {
		for (const other of nodes) {
			if (other === node) {
				continue;
			}

			const connection = node.dialled.get(other);
			if (!connection) {
				dial(node, other);
				continue;
			}

			const isBusy = busyLinks.has(`${node.name} ${other.name}`);
			const silence = clock.now() - connection.receivedAt;
			const isAnswering = !connection.isSilent && !other.suspended;
			if (isAnswering && (isBusy || silence >= idleProbeTimeout)) {
				connection.receivedAt = clock.now();
			} else if (
				silence >= (isBusy ? busyLinkReplacement : idleLinkReplacement)
			) {
				dial(node, other);
			}
		}
	};

	const createNode = (name: string): FleetNode => {
		const dialled: FleetNode['dialled'] = new Map();
		const nodeClock = clockOf(() => node);
		const ticker = createTicker(nodeClock, lifetime.signal);
		const versions = createVersionTracker(nodeClock);
		const reporter = {notice: () => undefined, decision: () => undefined};
		const nodeStore = store.createClient((callback) => {
			runAt(node, callback);
		});
		const feedPeers = () =>
			[...dialled].map(([other, {isFollowing, receivedAt}]) => ({
				node: other.name,
				isFollowing:
					isFollowing === true &&
					clock.now() - receivedAt < followerSilenceTimeout,
			}));
		const broadcast = (message: PeerMessage) => {
			for (const {other, connection} of accepted(node)) {
				send(connection, node, other, message);
			}
		};

		const follower = createConfigurationFollower({
			store: nodeStore,
			row,
			decode: (value) => ok(configurationOf(Number(value))),
			clock: nodeClock,
			random: random.fork(),
			startDelay: feedStartDelay(name),
			ticker,
			isFollower: () => isFeedFollower(name, feedPeers()),
			isFirstFollower: () => isFirstFollower(name, feedPeers()),
			onFollowingChange() {
				broadcast(stateOf(node));
			},
			reporter,
			versions,
			onApplied({version}) {
				const message: PeerMessage = {kind: 'version', version};
				for (const [other, connection] of dialled) {
					send(connection, node, other, message);
				}

				if (follower.isFollowing()) {
					broadcast(message);
				}
			},
		});
		const receive = createUpdateHandler({
			clock: nodeClock,
			follower,
			versions,
			reporter,
			onHello: () => undefined,
			onMembers: () => undefined,
			onQuotaUse: () => undefined,
			onQuotaGrant: () => undefined,
			onFairDemand: () => undefined,
			onFairTotals: () => undefined,
			onSuspects: () => undefined,
			onTargetMemory: () => undefined,
		});
		const announceToQuiet = () => {
			const version = follower.current()?.version;
			for (const {other, connection} of accepted(node)) {
				const isQuiet = clock.now() - connection.sentAt >= followerQuietTime;
				if (version !== undefined && follower.isFollowing() && isQuiet) {
					send(connection, node, other, {kind: 'version', version});
				}
			}
		};

		const node: FleetNode = {
			name,
			dialled,
			store: nodeStore,
			follower,
			receive,
			suspended: undefined,
			faultAt: 0,
		};
		void follower.run(lifetime.signal);
		ticker.schedule(tickInterval, () => {
			probe(node);
			announceToQuiet();
		});
		return node;
	};

	for (let index = 0; index < size; index++) {
		nodes.push(createNode(`node-${index}`));
		for (let other = 0; other < size; other++) {
			if (random.fraction() < 0.5) {
				busyLinks.add(`node-${index} node-${other}`);
			}
		}
	}

	for (const node of nodes) {
		for (const other of nodes) {
			if (other !== node) {
				dial(node, other);
			}
		}
	}

	const drawNodes = (share: number) => {
		const drawn = nodes.filter(() => random.fraction() < share);
		for (const node of drawn) {
			node.faultAt = clock.now();
		}

		return drawn;
	};

	const checkVersions = () => {
		const now = clock.now();
		const due = store.versionAt(now - applyBound);
		for (const {name, faultAt, suspended, follower} of nodes) {
			const inForce = follower.current()?.version ?? 0;
			const isInTouch = !suspended && now - faultAt >= stabilityWindow;
			if (isInTouch && inForce < due) {
				stale.push({at: now, node: name, inForce});
			}
		}
	};

	return {
		clock,
		stale,
		change: store.change,
		/** All open connections between a share of the nodes and others go silent for good. */
		silenceLinks(share: number) {
			const drawn = new Set(drawNodes(share));
			for (const node of nodes) {
				for (const [other, connection] of node.dialled) {
					connection.isSilent ||= drawn.has(node) || drawn.has(other);
				}
			}

			return [...drawn];
		},
		/** The same, with the open connections of these nodes to the store. */
		silenceAll(share: number) {
			for (const node of this.silenceLinks(share)) {
				node.store.silence(random.below(maxIdleConnections + 1));
			}
		},
		/** Suspends a share of the nodes; what arrives meanwhile is handled afterwards. */
		suspend(share: number, duration: number) {
			for (const node of drawNodes(share)) {
				node.suspended ??= [];
				clock.setTimer(duration, () => {
					const missed = node.suspended ?? [];
					node.suspended = undefined;
					node.faultAt = clock.now();
					for (const callback of missed) {
						callback();
					}
				});
			}
		},
		/** Advances the clock and checks every 50 ms which nodes are stale. */
		async runFor(duration: number) {
			const end = clock.now() + duration;
			while (clock.now() < end) {
				// eslint-disable-next-line no-await-in-loop -- virtual time advances in steps.
				await clock.runTo(Math.min(end, clock.now() + 50));
				checkVersions();
			}
		},
		close() {
			lifetime.abort();
		},
	};
}
