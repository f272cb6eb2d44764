/**
 * Who is there, as one node sees it: a state machine over what it hears.
 * After SWIM (Das, Gupta and Motivala, DSN 2002): suspicion before a member is
 * given up, and a member refutes it by a newer record of itself. Unlike there,
 * a refutation raises the heartbeat and not the incarnation, since an
 * incarnation stands for what a node remembers (the ledger of its keys).
 *
 * Records of one node are ordered by incarnation, then heartbeat, then state.
 * What goes wrong without the order: a peer that was cut off passes on an old
 * record, and a member that has left gets work again. One notices requests
 * going to a target that was told to leave. Only a record that the member
 * itself made later can replace an end.
 */
import type {Member} from '@egretspoke/protocol';

/** A member with what this node knows of its age, in milliseconds of the clock. */
export type MemberEntry = {
	member: Member;
	/** When the record last changed here. */
	changedAt: number;
	/** When the member was last known to live: its own message, or a newer record. */
	lastSeenAt: number;
};

/** The members by node, the node's own record included. */
export type MembershipState = {
	self: string;
	entries: Map<string, MemberEntry>;
	/** The suspects and the gone, so that looking after them costs nothing while all is well. */
	suspectOrGone: Set<string>;
};

/** A record that changed here; `before` is absent for a new member. */
export type MemberChange = {member: Member; before?: Member};

/** How a record that came in is weighed against the one that is known. */
export type MergeRule = (known: Member, incoming: Member) => boolean;

const ranks: Record<Member['state'], number> = {
	joining: 0,
	active: 1,
	suspect: 2,
	leaving: 3,
	gone: 4,
};

/** The rules by name; `latestHeard` is the naive way, for proofs only. */
export const mergeRules = {
	newerRecord: (known, incoming) => compareRecords(incoming, known) > 0,
	lastReceived: () => true,
} as const satisfies Record<string, MergeRule>;

/** Creates the state of a node that knows only itself. */
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

/** Above 0 when the left record is newer than the right one. */
export function compareRecords(left: Member, right: Member): number {
	return (
		left.incarnation - right.incarnation ||
		left.heartbeat - right.heartbeat ||
		ranks[left.state] - ranks[right.state]
	);
}

/** Takes in a record of another node; the change, if it told something new. */
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

/** Notes that a member itself was heard. */
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
 * A probe of the member failed. One that is leaving already is gone at once:
 * it takes no new work either way, and nothing may bring it back to less.
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

/** Suspects that nobody refuted in time are gone; old ends are forgotten. */
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

/** A member that may be probed and told news. */
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
