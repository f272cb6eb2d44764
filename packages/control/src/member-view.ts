/**
 * One node's view of the members and the queue of records that it has to
 * gossip. It does no I/O and sets no timers.
 */
import type {Member} from '@egretspoke/protocol';
import {createSubject, type Clock} from '@egretspoke/shared';
import type {Stream} from 'most';
import {createGossipQueue} from './gossip-queue.js';
import {
	compareRecords,
	createMembershipState,
	expireMembers,
	recordContact,
	isPresent,
	mergeMember,
	mergeRules,
	suspectMember,
	type MemberChange,
	type MemberEntry,
	type MergeRule,
} from './membership.js';
import type {MembershipTiming} from './membership-timing.js';
import {refute} from './own-record.js';

/** The view of the members and the operations that change it. */
export type MemberView = {
	changes: Stream<MemberChange>;
	self(): Member;
	entry(node: string): MemberEntry | undefined;
	entries(): MemberEntry[];
	/** All other members that are not gone. */
	present(): Member[];
	gone(): Member[];
	/** Replaces the node's own record and queues it for gossip; an urgent one goes first. */
	setSelf(member: Member, isUrgent: boolean): void;
	/**
	 * Merges received records, the sender's own first, and returns the changes.
	 * Records of a full list are not gossiped: the sender's peers have them, and a
	 * node that has just joined would gossip only old records.
	 */
	applyRecords(records: Member[], isWhole?: boolean): MemberChange[];
	suspect(node: string): MemberChange | undefined;
	expire(): void;
	/** The own record, up to `limit` queued ones, and the recipient's if it has to refute it. */
	gossipFor(recipient: string | undefined, limit: number): Member[];
	/**
	 * The same for an acknowledgement. The sender also receives a newer record of
	 * itself, such as one of an earlier process whose wall clock was ahead.
	 */
	replyGossip(sender: Member | undefined, limit: number): Member[];
	/** The own record, then all other members that are not gone. */
	whole(): Member[];
};

/** Creates a view that holds only the node itself. */
export function createMemberView(options: {
	self: Member;
	clock: Clock;
	timing: MembershipTiming;
	isNewer?: MergeRule;
}): MemberView {
	const {clock, timing, isNewer = mergeRules.newerRecord} = options;
	const state = createMembershipState(options.self, clock.now());
	const queue = createGossipQueue();
	const changes = createSubject<MemberChange>();
	const selfEntry = state.entries.get(state.self)!;
	const self = () => selfEntry.member;

	const recordChange = (change: MemberChange, isGossiped = true) => {
		if (isGossiped) {
			queue.add(change.member.node, isUrgentChange(change));
		}

		changes.push(change);
	};

	const setSelf = (member: Member, isUrgent: boolean) => {
		const before = selfEntry.member;
		selfEntry.member = member;
		selfEntry.changedAt = clock.now();
		queue.add(state.self, isUrgent);
		changes.push({member, before});
	};

	const others = () =>
		[...state.entries.values()]
			.map(({member}) => member)
			.filter(({node}) => node !== state.self);

	const collectGossip = (limit: number, requiredRecord: Member | undefined) => {
		const nodes = new Set(queue.take(limit, state.entries.size));
		nodes.delete(state.self);
		if (requiredRecord) {
			nodes.add(requiredRecord.node);
		}

		const records = [...nodes].map((node) => state.entries.get(node)?.member);
		return [self(), ...records.filter((record) => record !== undefined)];
	};

	return {
		self,
		entry: (node) => state.entries.get(node),
		entries: () => [...state.entries.values()],
		present: () => others().filter((member) => isPresent(member)),
		gone: () =>
			[...state.suspectOrGone]
				.map((node) => state.entries.get(node)!.member)
				.filter((member) => !isPresent(member)),
		changes: changes.stream,
		setSelf,
		applyRecords(records, isWhole = false) {
			const now = clock.now();
			const found: MemberChange[] = [];
			for (const record of records.filter((each) => isPlausible(each))) {
				if (record.node === state.self) {
					const answer = refute(self(), record);
					if (answer) {
						setSelf(answer, true);
					}

					continue;
				}

				const change = mergeMember(state, record, now, isNewer);
				if (change) {
					recordChange(change, !isWhole);
					found.push(change);
				}
			}

			const sender = records[0];
			if (sender) {
				recordContact(state, sender.node, now);
			}

			return found;
		},
		suspect(node) {
			const change = suspectMember(state, node, clock.now());
			if (change) {
				recordChange(change);
			}

			return change;
		},
		expire() {
			for (const change of expireMembers(state, clock.now(), timing)) {
				recordChange(change);
			}
		},
		gossipFor(recipient, limit) {
			const known = recipient ? state.entries.get(recipient) : undefined;
			const isAccused = known && isSuspectOrGone(known.member);
			return collectGossip(limit, isAccused ? known.member : undefined);
		},
		replyGossip(sender, limit) {
			const known = sender && state.entries.get(sender.node)?.member;
			const isOutdated = known && compareRecords(known, sender) > 0;
			return collectGossip(limit, isOutdated ? known : undefined);
		},
		whole: () => [self(), ...others().filter((member) => isPresent(member))],
	};
}

/**
 * Bounds of what a node can have announced: an incarnation in milliseconds since
 * 1970, until the year 2286, and a count of announcements. A greater one would
 * displace a live node for good, as none of its own is ever newer, and the
 * refutation of the greatest integer is one that no other node can read.
 */
const incarnationLimit = 1e13;
const heartbeatLimit = 1e12;

function isPlausible({incarnation, heartbeat}: Member): boolean {
	return incarnation < incarnationLimit && heartbeat < heartbeatLimit;
}

/** Such a member receives its record at the first contact, so that it can refute it (Dadgar et al., Lifeguard, 2018). */
function isSuspectOrGone({state}: Member): boolean {
	return state === 'suspect' || state === 'gone';
}

/**
 * Suspicions, ends, rejoins and new incarnations are gossiped before first
 * starts, `joining` to `active` and new versions: requests to a member that is
 * gone cost more than late use of a new one.
 */
function isUrgentChange({member, before}: MemberChange): boolean {
	if (before === undefined) {
		return false;
	}

	const isNewIncarnation = before.incarnation !== member.incarnation;
	const isFirstActive = before.state === 'joining' && member.state === 'active';
	return isNewIncarnation || (before.state !== member.state && !isFirstActive);
}
