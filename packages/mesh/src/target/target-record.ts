/**
 * The record of a node's local target, built from the target's announcements.
 * These may arrive late and out of order: one sent before its sender crashed
 * may arrive after the next target has announced itself on the same address,
 * and a "ready" may arrive after the "leaving" that followed it. Applied in
 * order of arrival, they would route requests to a target that is gone or was
 * promised no more work. So they are ordered by start time and then by
 * sequence, and leaving is final for one incarnation.
 */
import {remoteAddressSchema} from '@egretspoke/shared';
import {z} from 'zod';
import {
	instantSchema,
	nameSchema,
	slotsSchema,
	versionSchema,
} from '../field-schemas.js';

/** A target's announcement of its state; times in milliseconds. */
export const announcementSchema = z.object({
	targetId: nameSchema,
	/** Start time of this incarnation, in milliseconds since 1970 by the target's clock. */
	startedAt: instantSchema,
	/** Increases with each announcement of one incarnation. */
	sequence: versionSchema,
	service: nameSchema,
	/** `ip:port`. */
	address: remoteAddressSchema,
	slots: slotsSchema,
	isLeaving: z.boolean(),
	/** Remaining warm-up time, during which the target is slow. */
	warmUpLeft: z.number().nonnegative(),
});

/** A target's announcement. */
export type Announcement = z.output<typeof announcementSchema>;

/** Identifies one run of a target: its id, and when it started. */
export type Incarnation = Pick<Announcement, 'targetId' | 'startedAt'>;

export const withdrawalSchema = z.object({
	targetId: nameSchema,
	/** Start time of the incarnation; undefined if the notice does not state it. */
	startedAt: z.union([instantSchema, z.undefined()]),
});

/** A target's notice that it has ended or is about to end. */
export type Withdrawal = z.output<typeof withdrawalSchema>;

/** The state of the local target as known to this node. */
export type TargetRecord = Announcement & {hasLeft: boolean};

/** The effect of an announcement or withdrawal on the record. */
export type RecordChange =
	/** It belongs to another incarnation than the known one, and is not later. */
	| {kind: 'stale'}
	/** Already known, or only the sequence has changed. */
	| {kind: 'same'; record: TargetRecord}
	| {kind: 'changed'; record: TargetRecord};

/** Whether two announcements belong to the same incarnation of the same target. */
export function isSameIncarnation(
	left: Incarnation,
	right: Incarnation,
): boolean {
	return left.startedAt === right.startedAt && left.targetId === right.targetId;
}

/** Placeholder for fields of a target that withdrew without an announcement to this node. */
const unknownField = 'unknown';

/** A record as it is stored; the address of a target that withdrew without an announcement is unknown. */
export const targetRecordSchema = announcementSchema.extend({
	address: z.union([remoteAddressSchema, z.literal(unknownField)]),
	hasLeft: z.boolean(),
});

/** Applies an announcement to the known record. */
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
	// A leaving is applied even if it arrives late: announcements sent before it can't undo it.
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
	// A repeated announcement is acknowledged again: the first acknowledgement may have
	// been lost, and a target without one ends before its running requests complete.
	return {kind: hasChanged ? 'changed' : 'same', record};
}

/**
 * Applies a target's withdrawal to the known record.
 *
 * @param now - Milliseconds since 1970. A node that has just started has no
 * record yet; a withdrawal that arrives then is recorded with this start time,
 * so that a delayed earlier announcement is rejected as stale.
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
