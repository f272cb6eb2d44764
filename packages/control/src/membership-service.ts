/**
 * Probes members and gossips their records periodically. Outgoing messages go
 * through `send`, incoming ones through `receive`.
 *
 * In a probe and in an acknowledgement, the first record is the sender's own,
 * and `configurationVersion` is the version in force at the sender.
 */
import type {
	AcknowledgementMessage,
	Member,
	ProbeMessage,
} from '@egretspoke/protocol';
import {
	createSubject,
	runDetached,
	sample,
	sleep,
	type Clock,
	type LoopSupervisor,
	type Random,
} from '@egretspoke/shared';
import type {Stream} from 'most';
import {createCatchUp} from './catch-up.js';
import {createLease} from './lease.js';
import {createMemberView} from './member-view.js';
import {
	isPresent,
	type MemberChange,
	type MemberEntry,
	type MergeRule,
} from './membership.js';
import {
	defaultTiming,
	gossipLimits,
	gossipFanout,
	type MembershipTiming,
} from './membership-timing.js';
import {announceChange, reincarnate, type OwnChange} from './own-record.js';
import {createProbeExchange, type SendProbe} from './probe-exchange.js';
import {createProbeOrder} from './probe-order.js';
import {rethrow, type OnTaskFailure} from './task-failure.js';

/** Dependencies and settings of membership. */
export type MembershipOptions = {
	/** The node's initial record, usually `joining`. */
	self: Member;
	clock: Clock;
	random: Random;
	send: SendProbe;
	/** Called with the configuration version of the sender of each received message. */
	onPeerVersion: (version: number, peerAddress: string) => void;
	/** Seed addresses from the settings; probed until a known member has the address. */
	peers?: string[];
	timing?: Partial<MembershipTiming>;
	/** Replaced in tests only. */
	isNewer?: MergeRule;
	/** Called when a task that nothing awaits has failed; without it the handler of the process is. */
	onFailure?: OnTaskFailure;
};

/** Membership as the rest of the node uses it. */
export type MembershipService = {
	/** Every change of a record, including the node's own. */
	changes: Stream<MemberChange>;
	/** The duration of each process pause longer than the lease, in milliseconds, emitted after it. */
	pauses: Stream<number>;
	/** The node's own record; its incarnation changes after a pause. */
	self(): Member;
	/** All known members, including gone ones; this node first. */
	members(): Member[];
	entries(): MemberEntry[];
	/** True after a pause longer than the lease, until the node has announced itself again. */
	isSuspended(): boolean;
	/** Changes the own record and gossips it; changes of state or target take priority. */
	announce(change: OwnChange): void;
	/** Applies a probe and returns its acknowledgement. */
	receive(probe: ProbeMessage): AcknowledgementMessage;
	/** Requests all members from some of these addresses; resolves with the number of responses. */
	join(addresses: string[]): Promise<number>;
	/** Sends recent changes to some members without waiting for the next probe. */
	gossip(): Promise<void>;
	/** Starts the loops that probe, each a child of the supervisor. */
	start(supervisor: LoopSupervisor): void;
};

/**
 * A probe that took more than this many timeouts indicates that this process
 * was stalled and the response may still be unread (Dadgar et al., Lifeguard,
 * 2018). If it counted as failed, overloaded nodes would suspect each other.
 */
const lateProbeFactor = 1.5;

/** Creates membership; it sends nothing before `run`, `join` or `announce`. */
export function createMembership(
	options: MembershipOptions,
): MembershipService {
	const {clock, random, send, onPeerVersion, peers = []} = options;
	const {onFailure = rethrow} = options;
	const timing = {...defaultTiming, ...options.timing};
	const view = createMemberView({...options, timing});
	const order = createProbeOrder(random.fork());
	const pauses = createSubject<number>();
	const lease = createLease(clock, timing.lease);
	let isAnnouncing = false;

	const detach = (task: string, work: Promise<unknown>) => {
		void runDetached(work, (error) => {
			onFailure(task, error);
		});
	};

	const gossipDetached = () => {
		detach('gossip', gossip());
	};

	const applyMessage = (
		message: ProbeMessage | AcknowledgementMessage,
		isWhole = false,
	) => {
		const own = view.self();
		const changes = view.applyRecords(message.members, isWhole);
		if (view.self() !== own) {
			gossipDetached();
		}

		for (const change of changes) {
			handleChange(change);
		}

		const [sender] = message.members;
		if (sender) {
			onPeerVersion(message.configurationVersion, sender.peerAddress);
		}
	};

	/**
	 * Gives a new suspect an early probe from this node with a probability that
	 * makes about `gossipFanout` nodes probe it, and reacts to leaves and rejoins.
	 */
	const handleChange = ({member, before}: MemberChange) => {
		if (member.state === 'suspect') {
			const probability = gossipFanout / Math.max(1, view.present().length);
			if (random.fraction() < probability) {
				order.prioritize(member.node);
			}
		}

		if (member.state === 'leaving' && before?.state !== 'leaving') {
			gossipDetached();
		}

		const isRejoin =
			before?.incarnation === member.incarnation &&
			!isPresent(before) &&
			isPresent(member);
		if (isRejoin) {
			catchUp.recordRejoin(member);
		}
	};

	const {exchange, gossip, gossipNow, join, lastFullSyncAt} =
		createProbeExchange({
			view,
			clock,
			random,
			timing,
			send,
			onAcknowledgement: applyMessage,
		});

	const probeNext = async () => {
		const node = order.next(() => view.present().map((each) => each.node));
		const entry = node === undefined ? undefined : view.entry(node);
		if (!entry || !isPresent(entry.member)) {
			return;
		}

		const {member} = entry;
		const startedAt = clock.now();
		const answer = await exchange(member.peerAddress, member.node);
		const isFromMember = answer?.members[0]?.node === member.node;
		const wasSeen = entry.lastSeenAt > startedAt;
		const isLate =
			clock.now() - startedAt > lateProbeFactor * timing.probeTimeout;
		if (!isFromMember && !wasSeen && !isLate) {
			view.suspect(member.node);
		}
	};

	/** Seed addresses from the settings that belong to no known member. */
	const listUnknownSeeds = () => {
		if (peers.length === 0) {
			return [];
		}

		const known = view.present().map(({peerAddress}) => peerAddress);
		const others = new Set([...known, view.self().peerAddress]);
		return peers
			.filter((address) => !others.has(address))
			.map((peerAddress) => ({peerAddress, node: undefined}));
	};

	/** Probes a random gone member or seed address, to reconnect after a partition. */
	const probeGoneMember = async () => {
		const [lost] = sample([...view.gone(), ...listUnknownSeeds()], 1, random);
		if (lost) {
			const whole = lost.node === undefined || view.present().length === 0;
			await exchange(lost.peerAddress, lost.node, {whole});
		}
	};

	const catchUp = createCatchUp({
		clock,
		random,
		timing,
		present: view.present,
		lastFullSyncAt,
		join,
		probeGoneMember,
	});

	const syncWithRandomMember = async () => {
		const [member] = sample(view.present(), 1, random);
		if (member) {
			await join([member.peerAddress]);
		}
	};

	const resumeAfterPause = async (pause: number) => {
		isAnnouncing = true;
		try {
			pauses.push(pause);
			view.setSelf(reincarnate(view.self(), clock.date()), true);
			await gossipNow();
		} finally {
			// Otherwise the node would refuse all work from then on.
			isAnnouncing = false;
		}

		await syncWithRandomMember();
	};

	const runPeriodically = async (
		interval: number,
		action: () => Promise<void> | void,
		signal: AbortSignal,
	) => {
		await sleep(clock, interval * random.fraction(), signal);
		while (!signal.aborted) {
			// eslint-disable-next-line no-await-in-loop -- one round after another.
			await action();
			// eslint-disable-next-line no-await-in-loop -- one round after another.
			await sleep(clock, interval * (0.9 + 0.2 * random.fraction()), signal);
		}
	};

	return {
		self: view.self,
		members: () => view.entries().map(({member}) => member),
		entries: view.entries,
		changes: view.changes,
		pauses: pauses.stream,
		isSuspended: () => isAnnouncing || lease.hasExpired(),
		announce(change) {
			const own = view.self();
			const isUrgent = change.state !== undefined || 'target' in change;
			view.setSelf(announceChange(own, change), isUrgent);
			gossipDetached();
		},
		receive(probe) {
			applyMessage(probe);
			const [sender, ...gossipRecords] = probe.members;
			const limit = Math.max(
				gossipLimits.acknowledgement,
				gossipRecords.length,
			);
			const maxRecords = Math.min(gossipLimits.probe, limit);
			return {
				type: 'acknowledgement',
				sequence: probe.sequence,
				members: probe.whole
					? view.whole()
					: view.replyGossip(sender, maxRecords),
				configurationVersion: view.self().configurationVersion,
			};
		},
		join,
		gossip,
		start(supervisor) {
			supervisor.startLoop('lease', async (signal) =>
				lease.run(signal, (pause) => {
					detach('resume', resumeAfterPause(pause));
				}),
			);
			const startPeriodic = (
				name: string,
				interval: number,
				action: () => Promise<void> | void,
			) => {
				supervisor.startLoop(name, async (signal) =>
					runPeriodically(interval, action, signal),
				);
			};

			startPeriodic('probes', timing.probeInterval, probeNext);
			startPeriodic('expiry', timing.probeInterval / 2, async () => {
				view.expire();
				await catchUp.runDue();
			});
			startPeriodic('reconnect', timing.reconnectInterval, probeGoneMember);
			startPeriodic('fullSync', timing.fullSyncInterval, syncWithRandomMember);
		},
	};
}
