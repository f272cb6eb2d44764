/**
 * What the target beside a node has said of itself, and which of it to believe.
 *
 * Announcements travel late and out of order: one that was sent before its
 * sender crashed may arrive after the next target has announced itself on the
 * same address, and a "ready" may arrive after the "leaving" that followed it.
 * Taken in the order of arrival, work goes to a target that has gone, or that
 * was promised no more work. So announcements are ordered by the start of the
 * target and then by their sequence, and leaving is final for one start.
 */
import {z} from 'zod';

/** What a target says of itself; times in milliseconds. */
export const announcementSchema = z.object({
	targetId: z.string().min(1),
	/** When this start of the target began, in milliseconds since 1970 by its own clock. */
	startedAt: z.number().int().nonnegative(),
	/** Grows with each announcement of one start. */
	sequence: z.number().int().nonnegative(),
	service: z.string().min(1),
	address: z.string().min(1),
	slots: z.number().int().positive(),
	isLeaving: z.boolean(),
	/** How much longer it is slow after its start. */
	warmUpLeft: z.number().nonnegative(),
});

/** A target's announcement. */
export type Announcement = z.output<typeof announcementSchema>;

/** A target that says it has gone, or is about to go. */
export type Withdrawal = {targetId: string; startedAt: number | undefined};

/** What this node believes of the target beside it. */
export type TargetRecord = Announcement & {hasLeft: boolean};

/** What an announcement changes. */
export type RecordChange =
	/** It is of another start than the one that is known, which is later. */
	| {kind: 'stale'}
	/** Known already, or only its sequence is new. */
	| {kind: 'same'; record: TargetRecord}
	| {kind: 'changed'; record: TargetRecord};

/** Whether two announcements are of one start of one target. */
export function isSameIncarnation(
	left: Announcement,
	right: Announcement,
): boolean {
	return left.startedAt === right.startedAt && left.targetId === right.targetId;
}

/** What a farewell says of a target that never announced itself here. */
const unknownField = 'unknown';

/** Takes an announcement. */
export function applyAnnouncement(
	known: TargetRecord | undefined,
	announcement: Announcement,
): RecordChange {
	if (!known || announcement.startedAt > known.startedAt) {
		return {kind: 'changed', record: {...announcement, hasLeft: false}};
	}

	if (!isSameIncarnation(known, announcement)) {
		return {kind: 'stale'};
	}

	const isLeaving = known.isLeaving || announcement.isLeaving;
	const isNewer = announcement.sequence > known.sequence;
	// A leaving is taken even when it comes late: it can't be undone by what was said before.
	const record = {
		...(isNewer ? announcement : known),
		isLeaving,
		hasLeft: known.hasLeft,
	};
	const hasChanged =
		isLeaving !== known.isLeaving ||
		record.slots !== known.slots ||
		record.service !== known.service ||
		record.address !== known.address;
	// What was said before is acknowledged again: the first acknowledgement may
	// have been lost, and a target that has none ends without waiting for its work.
	return {kind: hasChanged ? 'changed' : 'same', record};
}

/**
 * Takes a target's farewell.
 *
 * @param now - Milliseconds since 1970. A node that has just started knows no
 * target yet; a farewell that reaches it then is kept as of this time, so that
 * an announcement from before it is not believed afterwards.
 */
export function applyWithdrawal(
	known: TargetRecord | undefined,
	withdrawal: Withdrawal,
	now: number,
): RecordChange {
	const {targetId, startedAt} = withdrawal;
	if (!known) {
		return {
			kind: 'changed',
			record: {
				targetId,
				startedAt: startedAt ?? now,
				sequence: Number.MAX_SAFE_INTEGER,
				service: unknownField,
				address: unknownField,
				slots: 1,
				warmUpLeft: 0,
				isLeaving: true,
				hasLeft: true,
			},
		};
	}

	const isOtherIncarnation =
		startedAt !== undefined && startedAt !== known.startedAt;
	if (known.targetId !== targetId || isOtherIncarnation) {
		return {kind: 'stale'};
	}

	return known.hasLeft
		? {kind: 'same', record: known}
		: {kind: 'changed', record: {...known, isLeaving: true, hasLeft: true}};
}
