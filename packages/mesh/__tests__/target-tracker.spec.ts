import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createTargetTracker} from '../src/target/target-tracker.js';
import type {Announcement} from '../src/target/target-record.js';

const now = Date.UTC(2026, 0, 1);
const announcement: Announcement = {
	targetId: 'target-1',
	startedAt: now - 1000,
	sequence: 1,
	service: 'orders',
	address: '10.0.0.5:8301',
	slots: 100,
	isLeaving: false,
	warmUpLeft: 0,
};
const future = now + 7_200_000;

function createTracker() {
	return createTargetTracker({
		clock: createVirtualClock(),
		dispatcher: {setTarget: () => undefined},
		reporter: {notice: () => undefined, decision: () => undefined},
		persistLeaving: async () => undefined,
		onChange: () => undefined,
	});
}

describe('the tracker of the local target', () => {
	// Each check-in of the live target was stale after one entry with a start far ahead.
	it('applies no start that is later than clocks may differ', async () => {
		const tracker = createTracker();
		const forged = {...announcement, targetId: 'odd', startedAt: future};
		expect(await tracker.announce(forged)).to.equal(false);
		expect(
			await tracker.withdraw({targetId: 'odd', startedAt: future}),
		).to.equal(false);
		expect(await tracker.announce(announcement)).to.equal(true);
		expect(tracker.incarnation()?.targetId).to.equal('target-1');
	});
});
