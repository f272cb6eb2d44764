import {expect} from 'chai';
import {
	applyAnnouncement,
	applyWithdrawal,
	type Announcement,
	type TargetRecord,
} from '../src/target/target-record.js';

const announcement: Announcement = {
	targetId: 'target-1',
	startedAt: 1000,
	sequence: 5,
	service: 'orders',
	address: '10.0.0.5:8301',
	slots: 100,
	isLeaving: false,
	warmUpLeft: 0,
};
const known: TargetRecord = {...announcement, hasLeft: false};

describe('the record of a target', () => {
	it('applies an announcement of a later incarnation, even with the same id', () => {
		const change = applyAnnouncement(known, {
			...announcement,
			startedAt: 2000,
			sequence: 1,
		});
		expect(change).to.deep.include({kind: 'changed'});
	});

	it('rejects a delayed announcement of an earlier incarnation', () => {
		// A target announces itself during a partition and crashes, and another one
		// starts on its address; then the partition heals and the old announcement
		// arrives. If it were applied, requests would carry the id of a target that
		// is gone, and users would get failures from a healthy one.
		const change = applyAnnouncement(known, {
			...announcement,
			targetId: 'target-0',
			startedAt: 500,
			sequence: 90,
		});
		expect(change.kind).to.equal('stale');
	});

	it('keeps a target leaving when another announcement without leaving arrives later', () => {
		// The announcement sent before the leaving was delayed. If it undid the
		// leaving, the target would receive requests until it ends while running them.
		const leaving = applyAnnouncement(known, {
			...announcement,
			sequence: 7,
			isLeaving: true,
		});
		expect(leaving).to.have.nested.property('record.isLeaving', true);
		const late = applyAnnouncement(
			{...known, isLeaving: true, sequence: 7},
			{...announcement, sequence: 6},
		);
		expect(late).to.have.nested.property('record.isLeaving', true);
		expect(late).to.have.nested.property('record.sequence', 7);
		const later = applyAnnouncement(
			{...known, isLeaving: true, sequence: 7},
			{...announcement, sequence: 8},
		);
		expect(later).to.have.nested.property('record.isLeaving', true);
	});

	it('applies a leaving that arrives after a later announcement', () => {
		const change = applyAnnouncement(known, {
			...announcement,
			sequence: 4,
			isLeaving: true,
		});
		expect(change.kind).to.equal('changed');
	});

	it('applies a withdrawal of the known incarnation only', () => {
		const withdrawals = [
			{targetId: 'target-1', startedAt: 1000, kind: 'changed'},
			{targetId: 'target-1', startedAt: undefined, kind: 'changed'},
			{targetId: 'target-1', startedAt: 900, kind: 'stale'},
			{targetId: 'target-0', startedAt: undefined, kind: 'stale'},
		];
		for (const {kind, ...withdrawal} of withdrawals) {
			expect(applyWithdrawal(known, withdrawal, 5000).kind).to.equal(kind);
		}
	});

	it('acknowledges a repeated leaving, because the first acknowledgement may be lost', () => {
		// The target announces its leaving, the answer is lost, and it repeats the
		// announcement. If that were rejected, the target would end without waiting
		// for its running requests.
		const leaving = {...announcement, sequence: 7, isLeaving: true};
		const first = applyAnnouncement(known, leaving);
		const record = first.kind === 'stale' ? known : first.record;
		expect(applyAnnouncement(record, leaving).kind).to.equal('same');
	});

	it('records a withdrawal that arrives before any announcement', () => {
		// The node has just restarted when its target withdraws. A delayed earlier
		// announcement must not restore the target; the next target, which started
		// later, is applied.
		const change = applyWithdrawal(
			undefined,
			{targetId: 'target-1', startedAt: undefined},
			5000,
		);
		expect(change.kind).to.equal('changed');
		const record = change.kind === 'stale' ? known : change.record;
		expect(applyAnnouncement(record, announcement).kind).to.equal('stale');
		const next = {...announcement, targetId: 'target-2', startedAt: 6000};
		expect(applyAnnouncement(record, next).kind).to.equal('changed');
	});
});
