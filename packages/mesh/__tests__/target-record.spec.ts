import {expect} from 'chai';
import {
	applyAnnouncement,
	applyWithdrawal,
	type Announcement,
	type TargetRecord,
} from '../src/target-record.js';

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
	it('takes a later start, also under the same id', () => {
		const change = applyAnnouncement(known, {
			...announcement,
			startedAt: 2000,
			sequence: 1,
		});
		expect(change).to.deep.include({kind: 'changed'});
	});

	it('does not go back to an earlier start whose announcement was held up', () => {
		// A target announces itself into a partition, crashes, and another starts
		// on its address; then the partition heals and the old announcement
		// arrives. Taken, requests would carry the id of a target that is gone,
		// and users would get failures from a healthy one.
		const change = applyAnnouncement(known, {
			...announcement,
			targetId: 'target-0',
			startedAt: 500,
			sequence: 90,
		});
		expect(change.kind).to.equal('stale');
	});

	it('does not take back a leaving when an older announcement arrives after it', () => {
		// The announcement before the leaving was delayed on the way. Taken as
		// news, the target would get work until it ends in the middle of it.
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

	it('takes a leaving that arrives behind a later announcement', () => {
		const change = applyAnnouncement(known, {
			...announcement,
			sequence: 4,
			isLeaving: true,
		});
		expect(change.kind).to.equal('changed');
	});

	it('takes a farewell of the known start only', () => {
		const farewells = [
			{targetId: 'target-1', startedAt: 1000, kind: 'changed'},
			{targetId: 'target-1', startedAt: undefined, kind: 'changed'},
			{targetId: 'target-1', startedAt: 900, kind: 'stale'},
			{targetId: 'target-0', startedAt: undefined, kind: 'stale'},
		];
		for (const {kind, ...withdrawal} of farewells) {
			expect(applyWithdrawal(known, withdrawal, 5000).kind).to.equal(kind);
		}
	});

	it('acknowledges a leaving again whose first acknowledgement was lost', () => {
		// The target says that it leaves, and the answer is lost on the way. It
		// says the same again; refused, it would end without waiting for its work.
		const leaving = {...announcement, sequence: 7, isLeaving: true};
		const first = applyAnnouncement(known, leaving);
		const record = first.kind === 'stale' ? known : first.record;
		expect(applyAnnouncement(record, leaving).kind).to.equal('same');
	});

	it('keeps a farewell that reaches a node which knows no target yet', () => {
		// The node has just started again when its target says farewell. An
		// announcement from before that is still on its way must not bring the
		// target back; the next target, started later, is taken.
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
