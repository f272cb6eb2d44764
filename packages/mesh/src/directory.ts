/** What this node knows of the other nodes and their targets, and the links to them. */
import type {Clock, Timer} from '@egretspoke/shared';
import type {Candidate} from './decisions/target-selection.js';
import {idleLoad, type TargetChannel, type TargetLoad} from './exchange.js';
import type {
	Member,
	PeerMessage,
	ProfilesMessage,
	StateMessage,
} from './peer-message.js';
import {createPeerLink, probePeriod, type PeerLink} from './peer-link.js';

/** A node that can be asked to run a request. */
export type Peer = {
	member: Member;
	link: PeerLink;
	state: StateMessage | undefined;
	load: TargetLoad;
	/** This node's requests without an outcome when the load was reported. */
	outstandingAtReport: number;
	/** Failures in a row. */
	failures: number;
	doubtfulUntil: number;
};

/** A candidate with its way and its last load. */
export type TargetCandidate = Candidate & {
	channel: TargetChannel;
	load: TargetLoad;
	/** Takes note of how an attempt ended. */
	note(outcomeKind: 'answered' | 'failed', load: TargetLoad | undefined): void;
};

/** What a directory needs. */
export type DirectoryOptions = {
	clock: Clock;
	self: Member;
	hello: () => PeerMessage[];
	onMessage: (
		message: PeerMessage,
		reply: (message: PeerMessage) => void,
	) => void;
	onMalformed: (detail: string) => void;
	/** A node told its state. */
	onState: (state: StateMessage) => void;
	/** A node told what requests cause at its target. */
	onProfiles: (node: string, message: ProfilesMessage) => void;
	onPeer: (node: string, change: 'up' | 'down') => void;
};

/** The directory. */
export type Directory = {
	/** Takes members from the store or from a peer; those that are new are linked to. */
	addMembers(members: Member[]): void;
	members(): Member[];
	/** Targets of the service that may be chosen, other than the one beside this node. */
	candidates(service: string, tried: ReadonlySet<string>): TargetCandidate[];
	/** The services of the linked targets, each with the mean of their shed levels. */
	shedLevels(): Map<string, number>;
	/** How many nodes there are, this one counted. */
	size(): number;
	/** Nodes whose links can be used. */
	connected(): number;
	/** Tells every linked node. */
	tellAll(message: PeerMessage): void;
	close(): void;
};

/** Failures in a row after which a target is chosen only when there is no other. */
const doubtAfter = 3;
/** Milliseconds that the doubt lasts before the target is tried again. */
const doubtTime = 1000;

/** Creates a directory that knows nobody. */
export function createDirectory(options: DirectoryOptions): Directory {
	const {clock, self} = options;
	const peers = new Map<string, Peer>();

	const add = (member: Member) => {
		if (member.node === self.node) {
			return;
		}

		const known = peers.get(member.node);
		if (known && known.member.startedAt >= member.startedAt) {
			return;
		}

		if (known?.member.address === member.address) {
			known.member = member;
			known.link.retryNow();
			return;
		}

		known?.link.close();
		const link = createPeerLink({
			address: member.address,
			clock,
			hello: options.hello,
			onMalformed: options.onMalformed,
			onMessage(message) {
				receive(peer, message);
			},
			onChange(isUsable) {
				if (!isUsable) {
					peer.state = undefined;
				}

				options.onPeer(member.node, isUsable ? 'up' : 'down');
			},
		});
		const peer: Peer = {
			member,
			link,
			state: undefined,
			load: idleLoad,
			outstandingAtReport: 0,
			failures: 0,
			doubtfulUntil: 0,
		};
		peers.set(member.node, peer);
	};

	const receive = (peer: Peer, message: PeerMessage) => {
		if (message.kind === 'profiles') {
			options.onProfiles(peer.member.node, message);
			return;
		}

		if (message.kind === 'state') {
			peer.state = message;
			options.onState(message);
			takeLoad(peer, message.load);
		} else if (message.kind === 'load') {
			takeLoad(peer, message.load);
		} else {
			options.onMessage(message, (reply) => {
				peer.link.tell(reply);
			});
		}
	};

	const createCandidate = (peer: Peer, slots: number): TargetCandidate => ({
		node: peer.member.node,
		isOwn: false,
		isNear: peer.member.dataCentre === self.dataCentre,
		occupancy:
			peer.load.occupancy +
			(peer.link.outstanding() - peer.outstandingAtReport) / slots,
		// A node that stops still serves for a moment, for those who have no other.
		isDoubtful:
			clock.now() < peer.doubtfulUntil ||
			(peer.state?.isStopping ?? false) ||
			peer.link.isSilent(),
		channel: peer.link,
		load: peer.load,
		failureShare: peer.load.failureShare,
		note(kind, load) {
			takeLoad(peer, load);
			if (kind === 'answered') {
				peer.failures = 0;
			} else if (++peer.failures >= doubtAfter) {
				peer.failures = 0;
				peer.doubtfulUntil = clock.now() + doubtTime;
			}
		},
	});

	/** One timer for all links: one each would wake the process for every peer. */
	let probeTimer: Timer | undefined;
	const probeLinks = () => {
		for (const {link} of peers.values()) {
			link.probe();
		}

		probeTimer = clock.setTimer(probePeriod, probeLinks);
	};

	probeLinks();
	return {
		addMembers(members) {
			for (const member of members) {
				add(member);
			}
		},
		members: () => [self, ...[...peers.values()].map(({member}) => member)],
		candidates(service, tried) {
			const found: TargetCandidate[] = [];
			for (const peer of peers.values()) {
				const target = peer.state?.target;
				if (
					target?.service === service &&
					!target.isLeaving &&
					target.isReachable &&
					peer.link.isUsable() &&
					!tried.has(peer.member.node)
				) {
					found.push(createCandidate(peer, target.slots));
				}
			}

			return found;
		},
		shedLevels() {
			const levels = new Map<string, number[]>();
			for (const {state, load} of peers.values()) {
				const service = state?.target?.service;
				if (service !== undefined) {
					const known = levels.get(service) ?? [];
					known.push(load.shedLevel);
					levels.set(service, known);
				}
			}

			return new Map(
				[...levels].map(([service, values]) => [service, mean(values)]),
			);
		},
		size: () => peers.size + 1,
		connected: () =>
			[...peers.values()].filter(({link}) => link.isUsable()).length,
		tellAll(message) {
			for (const {link} of peers.values()) {
				link.tell(message);
			}
		},
		close() {
			probeTimer?.cancel();
			for (const {link} of peers.values()) {
				link.close();
			}
		},
	};
}

function mean(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function takeLoad(peer: Peer, load: TargetLoad | undefined): void {
	if (load) {
		peer.load = load;
		peer.outstandingAtReport = peer.link.outstanding();
	}
}
