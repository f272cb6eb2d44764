/**
 * Simulates a fleet on a virtual clock whose targets crash under one request,
 * with the suspects of each node, links that can be cut, and a shared store.
 */
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {identifyRequest, isQuarantined} from '@egretspoke/quarantine';
import {createGossip} from '../src/members/gossip.js';
import {partsOf} from '../src/entry/request-parts.js';
import type {PeerLink} from '../src/links/peer-link.js';
import type {Member, PeerMessage} from '../src/links/peer-message.js';
import {createSuspectRegister} from '../src/suspects/suspect-register.js';
import {
	createSuspects,
	toMessage,
	type Suspects,
} from '../src/suspects/suspects.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';

/** Size and topology of a fleet. */
export type SuspectFleetOptions = {
	nodes: number;
	dataCentres: number;
	/** Approximate number of links per node. */
	links: number;
	seed: number;
};

/** Latency between two nodes, in milliseconds. */
const linkLatency = 3;
/** Milliseconds between two reads of the store by a follower. */
const feedInterval = 100;
/** Milliseconds from the start of the request to the crash, and from there until the target has restarted. */
const crashDelay = 100;
const restartDuration = 1500;
/** Maximum number of targets that one call of a caller may reach. */
const attempts = 2;

type FleetNode = {
	member: Member;
	suspects: Suspects;
	lifetime: AbortController;
	linked: Set<string>;
	isTargetUp: boolean;
};

const crashingRequest = {
	method: 'GET',
	path: '/read/deadly',
	headers: ['Host', 'shop.example'],
	body: undefined,
};

const headerNames = {workspace: 'workspace'};
const identity = identifyRequest(partsOf(crashingRequest, headerNames));

/** Creates a fleet without suspects. */
export function createSuspectFleet(options: SuspectFleetOptions) {
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	const store = createRowStoreStandIn(
		async () =>
			new Promise((resolve) => {
				clock.setTimer(feedInterval, () => {
					resolve();
				});
			}),
	);
	const nodes = new Map<string, FleetNode>();
	const crashes: number[] = [];
	let bytes = 0;
	let isCut: (from: Member, to: Member) => boolean = () => false;

	const members = Array.from({length: options.nodes}, (_, index): Member => ({
		node: `node-${index}`,
		address: `10.0.0.${index}:7620`,
		dataCentre: `centre-${index % options.dataCentres}`,
		service: 'any',
		startedAt: 1,
	}));

	const reach = (from: FleetNode): FleetNode[] =>
		[...from.linked].flatMap((name) => {
			const to = nodes.get(name);
			return to && !isCut(from.member, to.member) ? [to] : [];
		});

	const deliver = (to: FleetNode, message: PeerMessage) => {
		bytes += JSON.stringify(message).length;
		clock.setTimer(linkLatency, () => {
			if (message.kind === 'suspects' && nodes.get(to.member.node) === to) {
				to.suspects.receive(message);
			}
		});
	};

	const createLink = (to: FleetNode): PeerLink => ({
		isUsable: () => true,
		isSilent: () => false,
		silence: () => 0,
		outstanding: () => 0,
		isUnused: () => true,
		send: () => () => undefined,
		sendMessage(message) {
			deliver(to, message);
			return true;
		},
		retryNow: () => undefined,
		probe: () => false,
		retire: () => undefined,
		close: () => undefined,
	});

	const start = (member: Member, linked: Set<string>) => {
		const lifetime = new AbortController();
		const gossip = createGossip({
			clock,
			random: random.fork(),
			self: member,
			links: () =>
				reach(node).map((to) => ({
					member: to.member,
					link: createLink(to),
				})),
			toMessage,
		});
		const reporter = {notice: () => undefined, decision: () => undefined};
		const register = createSuspectRegister({
			store,
			node: member.node,
			clock,
			random: random.fork(),
			reporter,
			// As in feed-followers.ts: some nodes follow for all, and so does each node that reaches none of them.
			isFollower: () =>
				Number(member.node.slice(5)) < 5 ||
				!reach(node).some((to) => Number(to.member.node.slice(5)) < 5),
			onSuspects(suspects) {
				node.suspects.applyStored(suspects);
			},
		});
		const node: FleetNode = {
			member,
			lifetime,
			linked,
			isTargetUp: true,
			suspects: createSuspects({
				clock,
				headerNames,
				reporter,
				broadcast(message) {
					for (const to of reach(node)) {
						deliver(to, message);
					}
				},
				gossip: () => gossip,
				register: () => register,
			}),
		};
		nodes.set(member.node, node);
		void register.run(lifetime.signal);
		for (const to of reach(node)) {
			for (const message of to.suspects.initialMessages()) {
				deliver(node, message);
			}
		}
	};

	const linkAll = () => {
		const linked = new Map(
			members.map(({node}) => [node, new Set<string>()] as const),
		);
		for (const {node} of members) {
			for (let count = 0; count < options.links / 2; count++) {
				const other = members[random.below(members.length)]!.node;
				if (other !== node) {
					linked.get(node)!.add(other);
					linked.get(other)!.add(node);
				}
			}
		}

		return linked;
	};

	for (const [name, linked] of linkAll()) {
		start(
			members.find(({node}) => node === name)!,
			linked,
		);
	}

	/** Sends a call from an entry node. */
	const send = (from: FleetNode, reached = 0) => {
		const known = from.suspects.lookUp(crashingRequest);
		const targets = [from, ...reach(from)].filter(({isTargetUp}) => isTargetUp);
		if (targets.length === 0 || (known && isQuarantined(known))) {
			return;
		}

		const to = targets[random.below(targets.length)]!;
		const sent = Math.max(reached, known?.crashes ?? 0);
		clock.setTimer(linkLatency, () => {
			const suspect = to.suspects.lookUp(crashingRequest);
			if (!to.isTargetUp || (suspect && isQuarantined(suspect))) {
				return;
			}

			const startedAt = clock.now();
			clock.setTimer(crashDelay, () => {
				if (to.isTargetUp) {
					crash(to, startedAt, sent);
					if (reached + 1 < attempts) {
						clock.setTimer(linkLatency, () => {
							send(from, reached + 1);
						});
					}
				}
			});
		});
	};

	const crash = (node: FleetNode, startedAt: number, sent: number) => {
		crashes.push(clock.now());
		node.isTargetUp = false;
		node.suspects.recordCrash([{identity, startedAt, crashes: sent}]);
		clock.setTimer(restartDuration, () => {
			node.isTargetUp = true;
		});
	};

	return {
		clock,
		crashes,
		members,
		store,
		bytes: () => bytes,
		/** Sends the request repeatedly, to randomly chosen nodes. */
		async repeat(perSecond: number, until: number) {
			while (clock.now() < until) {
				const gap = (-Math.log(1 - random.fraction()) * 1000) / perSecond;
				// eslint-disable-next-line no-await-in-loop -- virtual time advances in steps.
				await clock.runTo(clock.now() + gap);
				const {node} = members[random.below(members.length)]!;
				send(nodes.get(node)!);
			}
		},
		cut(isNowCut: (from: Member, to: Member) => boolean) {
			isCut = isNowCut;
		},
		/** Restarts nodes, which lose their state in memory. */
		restart(isAffected: (member: Member) => boolean) {
			for (const member of members.filter((one) => isAffected(one))) {
				const {linked, lifetime} = nodes.get(member.node)!;
				lifetime.abort();
				start(member, linked);
			}
		},
		close() {
			for (const {lifetime} of nodes.values()) {
				lifetime.abort();
			}
		},
	};
}
