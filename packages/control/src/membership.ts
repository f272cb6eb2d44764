/**
 * The members as one node sees them: a state machine over the records that it
 * receives. It follows SWIM (Das, Gupta and Motivala, DSN 2002): a member is
 * suspected before it is gone, and refutes the suspicion with a newer record of
 * itself. Unlike in SWIM, a refutation raises the heartbeat and not the
 * incarnation, because an incarnation stands for the state that a node holds in
 * memory (its ledger of idempotency keys).
 */
import type {Member} from '@egretspoke/protocol';

/** A member and the age of its record, in milliseconds of the clock. */
export type MemberEntry = {
	member: Member;
	/** When the record last changed at this node. */
	changedAt: number;
	/** When the member last proved to be alive, by a message of its own or a newer record. */
	lastSeenAt: number;
};

/** The members by node name, including the node's own record. */
export type MembershipState = {
	self: string;
	entries: Map<string, MemberEntry>;
	/** Names of suspects and gone members, so that expiry does not scan the healthy ones. */
	suspectOrGone: Set<string>;
};

/** A record that changed at this node; `before` is absent for a new member. */
export type MemberChange = {member: Member; before?: Member};

/** Whether a received record replaces the known one. */
export type MergeRule = (known: Member, incoming: Member) => boolean;

const ranks: Record<Member['state'], number> = {
	joining: 0,
	active: 1,
	suspect: 2,
	leaving: 3,
	gone: 4,
};

/** The rules by name; `lastReceived` is the naive rule, for tests that show its effect. */
export const mergeRules = {
	newerRecord: (known, incoming) => compareRecords(incoming, known) > 0,
	lastReceived: () => true,
} as const satisfies Record<string, MergeRule>;

/** Creates a state that holds only the node itself. */
export function createMembershipState(
	member: Member,
	now: number,
): MembershipState {
	return {
		self: member.node,
		entries: new Map([
			[member.node, {member, changedAt: now, lastSeenAt: now}],
		]),
		suspectOrGone: new Set(),
	};
}

/**
 * Returns a number above 0 when the left record is newer than the right one.
 * Records of one node are ordered by incarnation, then heartbeat, then state.
 * Without this order, a peer that was partitioned would gossip an old record, and
 * a member that is leaving would receive requests again. Only a newer record made
 * by the member itself can replace `gone`.
 */
export function compareRecords(left: Member, right: Member): number {
	return (
		left.incarnation - right.incarnation ||
		left.heartbeat - right.heartbeat ||
		ranks[left.state] - ranks[right.state]
	);
}

/** Merges a record of another node; returns the change, if there is one. */
export function mergeMember(
	state: MembershipState,
	incoming: Member,
	now: number,
	isNewer: MergeRule = mergeRules.newerRecord,
): MemberChange | undefined {
	const entry = state.entries.get(incoming.node);
	if (!entry) {
		state.entries.set(incoming.node, {
			member: incoming,
			changedAt: now,
			lastSeenAt: now,
		});
		updateSuspectOrGone(state, incoming);
		return {member: incoming};
	}

	const before = entry.member;
	if (!isNewer(before, incoming)) {
		return undefined;
	}

	const isLivenessProof =
		incoming.incarnation > before.incarnation ||
		incoming.heartbeat > before.heartbeat;
	entry.member = incoming;
	entry.changedAt = now;
	entry.lastSeenAt = isLivenessProof ? now : entry.lastSeenAt;
	updateSuspectOrGone(state, incoming);
	return {member: incoming, before};
}

/** Records that the member itself has sent a message. */
export function recordContact(
	state: MembershipState,
	node: string,
	now: number,
): void {
	const entry = state.entries.get(node);
	if (entry) {
		entry.lastSeenAt = now;
	}
}

/**
 * Handles a failed probe of the member. A member that is leaving is gone at
 * once: it takes no new work in either state, and suspicion must not hide
 * that it is leaving.
 */
export function suspectMember(
	state: MembershipState,
	node: string,
	now: number,
): MemberChange | undefined {
	const entry = state.entries.get(node);
	const next = entry && nextStateOnFailure[entry.member.state];
	return entry && next ? changeState(state, entry, next, now) : undefined;
}

/** Marks expired suspects as gone and deletes gone members after the retention time. */
export function expireMembers(
	state: MembershipState,
	now: number,
	limits: {suspicionTimeout: number; goneRetention: number},
): MemberChange[] {
	const changes: MemberChange[] = [];
	for (const node of state.suspectOrGone) {
		const entry = state.entries.get(node)!;
		const age = now - entry.changedAt;
		if (entry.member.state === 'suspect' && age >= limits.suspicionTimeout) {
			changes.push(changeState(state, entry, 'gone', now));
		} else if (entry.member.state === 'gone' && age >= limits.goneRetention) {
			state.entries.delete(node);
			state.suspectOrGone.delete(node);
		}
	}

	return changes;
}

/** Whether the member may be probed and receive gossip. */
export function isPresent(member: Member): boolean {
	return member.state !== 'gone';
}

const nextStateOnFailure: Partial<Record<Member['state'], Member['state']>> = {
	joining: 'suspect',
	active: 'suspect',
	leaving: 'gone',
};

function changeState(
	state: MembershipState,
	entry: MemberEntry,
	next: Member['state'],
	now: number,
): MemberChange {
	const before = entry.member;
	entry.member = {...before, state: next};
	entry.changedAt = now;
	updateSuspectOrGone(state, entry.member);
	return {member: entry.member, before};
}

function updateSuspectOrGone(
	{suspectOrGone}: MembershipState,
	member: Member,
): void {
	if (member.state === 'suspect' || member.state === 'gone') {
		suspectOrGone.add(member.node);
	} else {
		suspectOrGone.delete(member.node);
	}
}
