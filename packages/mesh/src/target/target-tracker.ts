/** Tracks the state of the local target and publishes its changes. */
import {runDetached, type Clock} from '@egretspoke/shared';
import {isInFuture} from '../field-schemas.js';
import {createLimitedNotices} from '../limited-notices.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {TargetState} from '../links/peer-message.js';
import type {TargetDispatcher} from './target-dispatcher.js';
import {
	isSameIncarnation,
	applyAnnouncement,
	applyWithdrawal,
	type Announcement,
	type Incarnation,
	type RecordChange,
	type TargetRecord,
	type Withdrawal,
} from './target-record.js';

/** Dependencies of the tracker. */
export type TargetTrackerOptions = {
	clock: Clock;
	dispatcher: Pick<TargetDispatcher, 'setTarget'>;
	reporter: MeshReporter;
	/** Persists a leaving, so that it survives a restart of this process. */
	persistLeaving: (record: TargetRecord) => Promise<void>;
	/** Called when the state changed and the other nodes must be notified. */
	onChange: () => void;
};

/** The state of the local target. */
export type TargetTracker = {
	/** Applies an announcement of the target; false if a later incarnation is known. */
	announce(announcement: Announcement): Promise<boolean>;
	/** Applies a target's withdrawal; false if it belongs to another target or incarnation. */
	withdraw(withdrawal: Withdrawal): Promise<boolean>;
	/** Restores a leaving that this node acknowledged before its restart. */
	restoreLeaving(record: TargetRecord): void;
	/** Applies that this incarnation is leaving, as its answers or other nodes state. */
	recordLeaving(incarnation: Incarnation): void;
	/** Returns the current incarnation; undefined while no target is known. */
	incarnation(): Incarnation | undefined;
	setReachable(isReachable: boolean): void;
	/** The state as sent to other nodes; undefined while no target is known. */
	state(): TargetState | undefined;
};

/** Creates a tracker without a target. */
export function createTargetTracker(
	options: TargetTrackerOptions,
): TargetTracker {
	const {clock, dispatcher, reporter, onChange} = options;
	const reportRefused = createLimitedNotices(
		clock,
		(targetId: string, detail: string) => {
			reporter.notice('meshAnnouncementMalformed', {target: targetId, detail});
		},
	);
	let target: TargetRecord | undefined;
	let isReachable = true;

	const setTarget = (record: TargetRecord) => {
		target = record;
		isReachable = true;
		dispatcher.setTarget(record);
		reporter.notice('meshTargetChanged', {
			target: record.targetId,
			service: record.service,
			address: record.address,
			startedAt: record.startedAt,
			state: record.isLeaving ? 'leaving' : 'ready',
			slots: record.slots,
		});
		onChange();
	};

	/** An announcement without changes still shows that the target is alive. */
	const refresh = (record: TargetRecord) => {
		target = record;
		if (!isReachable) {
			isReachable = true;
			dispatcher.setTarget(record);
			onChange();
		}
	};

	const apply = async (change: RecordChange): Promise<boolean> => {
		if (change.kind === 'stale') {
			return false;
		}

		const {record} = change;
		const isPersisted =
			target !== undefined &&
			isSameIncarnation(target, record) &&
			target.isLeaving;
		if (change.kind === 'changed') {
			setTarget(record);
		} else {
			refresh(record);
		}

		if (record.isLeaving && !isPersisted) {
			await options.persistLeaving(record);
		}

		return true;
	};

	/** A start that lies ahead of all clocks would make each later one of the target stale. */
	const isPlausible = ({
		targetId,
		startedAt = 0,
	}: Announcement | Withdrawal): boolean => {
		const hasFutureStart = isInFuture(startedAt, clock.date());
		if (hasFutureStart) {
			reportRefused(targetId, `its start at ${startedAt} is in the future`);
		}

		return !hasFutureStart;
	};

	return {
		announce: async (announcement) =>
			isPlausible(announcement) &&
			apply(applyAnnouncement(target, announcement)),
		withdraw: async (withdrawal) =>
			isPlausible(withdrawal) &&
			apply(applyWithdrawal(target, withdrawal, clock.date().getTime())),
		restoreLeaving(record) {
			if (!target || target.startedAt < record.startedAt) {
				setTarget(record);
			} else if (target.startedAt === record.startedAt && !target.isLeaving) {
				setTarget({...target, isLeaving: true});
			}
		},
		recordLeaving(incarnation) {
			if (
				!target ||
				target.isLeaving ||
				!isSameIncarnation(target, incarnation)
			) {
				return;
			}

			reporter.notice('meshTargetLeaves', {target: target.targetId});
			const record = {...target, isLeaving: true};
			void runDetached(apply({kind: 'changed', record}), (error) => {
				reporter.notice('unexpectedError', {detail: String(error)});
			});
		},
		incarnation: () => target,
		setReachable(reachable) {
			isReachable = reachable;
			onChange();
		},
		state: () =>
			target && {
				service: target.service,
				targetId: target.targetId,
				startedAt: target.startedAt,
				sequence: target.sequence,
				isLeaving: target.isLeaving,
				isReachable,
				slots: target.slots,
			},
	};
}
