/** What this node believes of the target beside it, and whom it tells when that changes. */
import type {Clock} from '@egretspoke/shared';
import type {TargetDispatcher} from './target-dispatcher.js';
import type {MeshReporter} from './mesh-reporter.js';
import type {TargetState} from './peer-message.js';
import {
	isSameIncarnation,
	applyAnnouncement,
	applyWithdrawal,
	type Announcement,
	type RecordChange,
	type TargetRecord,
	type Withdrawal,
} from './target-record.js';

/** What the belief needs. */
export type TargetTrackerOptions = {
	clock: Clock;
	dispatcher: Pick<TargetDispatcher, 'setTarget'>;
	reporter: MeshReporter;
	/** Keeps a leaving beyond the life of this process. */
	persistLeaving: (record: TargetRecord) => Promise<void>;
	/** The other nodes have to know. */
	onChange: () => void;
};

/** The belief. */
export type TargetTracker = {
	/** Takes what the target says of itself; false when a later start is known. */
	announce(announcement: Announcement): Promise<boolean>;
	/** Takes a target's farewell; false when it is none of the known target's. */
	withdraw(withdrawal: Withdrawal): Promise<boolean>;
	/** Takes the leaving that an earlier start of this node acknowledged. */
	restoreLeaving(record: TargetRecord): void;
	setReachable(isReachable: boolean): void;
	/** What the other nodes are told; undefined while no target is known. */
	state(): TargetState | undefined;
};

/** Creates the belief that there is no target. */
export function createTargetTracker(
	options: TargetTrackerOptions,
): TargetTracker {
	const {clock, dispatcher, reporter, onChange} = options;
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

	/** An announcement without news still shows that the target lives. */
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

	return {
		announce: async (announcement) =>
			apply(applyAnnouncement(target, announcement)),
		withdraw: async (withdrawal) =>
			apply(applyWithdrawal(target, withdrawal, clock.date().getTime())),
		restoreLeaving(record) {
			if (!target || target.startedAt < record.startedAt) {
				setTarget(record);
			} else if (target.startedAt === record.startedAt && !target.isLeaving) {
				setTarget({...target, isLeaving: true});
			}
		},
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
