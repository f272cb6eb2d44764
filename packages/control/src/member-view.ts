/**
 * One node's view of the members together with the news it has to pass on:
 * the part of membership that sends nothing and waits for nothing.
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

/** The view and what changes it. */
export type MemberView = {
	changes: Stream<MemberChange>;
	self(): Member;
	entry(node: string): MemberEntry | undefined;
	entries(): MemberEntry[];
	/** Every member but this node that is not gone. */
	present(): Member[];
	gone(): Member[];
	/** Replaces the node's own record and tells it first. */
	setSelf(member: Member, isUrgent: boolean): void;
	/**
	 * Takes in records; the first one is the sender's own. Returns what changed.
	 * What came with all members is not passed on: its sender's neighbours know
	 * it, and a node that has just joined would have nothing but old news to tell.
	 */
	applyRecords(records: Member[], isWhole?: boolean): MemberChange[];
	suspect(node: string): MemberChange | undefined;
	expire(): void;
	/** The own record, the recipient's where it should defend itself, and so many news. */
	gossipFor(recipient: string | undefined, limit: number): Member[];
	/**
	 * The same for an answer to a sender, who also learns of a newer record of
	 * itself, such as one of its earlier process whose wall time was ahead.
	 */
	replyGossip(sender: Member | undefined, limit: number): Member[];
	/** All members that are not gone, the own record first. */
	whole(): Member[];
};

/** Creates the view of a node that knows only itself. */
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
			for (const record of records) {
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

/** A member under suspicion learns of it at the first contact (Dadgar et al., Lifeguard, 2018). */
function isSuspectOrGone({state}: Member): boolean {
	return state === 'suspect' || state === 'gone';
}

/**
 * First starts, `joining` to `active` and new versions can wait behind ends,
 * returns and new incarnations: a wrong trust costs more than a late one.
 */
function isUrgentChange({member, before}: MemberChange): boolean {
	if (before === undefined) {
		return false;
	}

	const isNewIncarnation = before.incarnation !== member.incarnation;
	const isFirstActive = before.state === 'joining' && member.state === 'active';
	return isNewIncarnation || (before.state !== member.state && !isFirstActive);
}
