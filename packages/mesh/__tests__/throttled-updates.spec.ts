import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createThrottledUpdates} from '../src/timing/throttled-updates.js';

describe('throttled updates', () => {
	function createUpdates(maxInterval: number) {
		const clock = createVirtualClock();
		const sentAt: number[] = [];
		const updates = createThrottledUpdates({
			clock,
			initialInterval: 1000,
			maxInterval,
			send() {
				sentAt.push(clock.now());
			},
		});
		return {clock, sentAt, updates};
	}

	it('are sent at once when none was sent recently', () => {
		const {updates, sentAt} = createUpdates(1000);
		updates.schedule();
		expect(sentAt).to.deep.equal([0]);
	});

	it('are coalesced, and sent less often the longer changes continue', () => {
		// Run times of a target under load change each second. If each change were
		// sent to every linked node, these updates would be most of the traffic.
		const {clock, updates, sentAt} = createUpdates(8000);
		for (let second = 0; second < 40; second++) {
			updates.schedule();
			clock.advanceTo(clock.now() + 1000);
		}

		expect(sentAt.slice(0, 4)).to.deep.equal([0, 1000, 3000, 7000]);
		expect(sentAt.length).to.be.below(9);
	});

	it('always include the last change', () => {
		const {clock, updates, sentAt} = createUpdates(1000);
		updates.schedule();
		clock.advanceTo(10);
		updates.schedule();
		clock.advanceTo(5000);
		expect(sentAt).to.deep.equal([0, 1000]);
	});
});
