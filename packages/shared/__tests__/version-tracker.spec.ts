import {expect} from 'chai';
import {createVersionTracker, createVirtualClock} from '../src/index.js';

describe('the version tracker', () => {
	it('shows which version is in force, from whom, and which newer one was reported', () => {
		const clock = createVirtualClock();
		const tracker = createVersionTracker(clock);
		tracker.recordReport('node-2', 3);
		clock.advanceTo(40);
		expect(tracker.recordApplied('node-3', 3)).to.deep.equal({
			version: 3,
			source: 'node-3',
			delay: 40,
		});
		clock.advanceTo(100);
		tracker.recordReport('node-2', 5);
		expect(tracker.readings()).to.deep.equal({
			source: 'node-3',
			age: 60,
			delay: 40,
			newestReported: 5,
			silence: {'node-3': 60, 'node-2': 0},
		});
	});

	it('names the newest reported version until it is in force', () => {
		const clock = createVirtualClock();
		const tracker = createVersionTracker(clock);
		tracker.recordApplied('store', 1);
		expect(tracker.pending()).to.equal(undefined);
		tracker.recordReport('node-2', 2);
		clock.advanceTo(700);
		tracker.recordReport('node-3', 4);
		expect(tracker.pending()).to.deep.equal({version: 4, knownFor: 700});
		tracker.recordApplied('node-2', 4);
		expect(tracker.pending()).to.equal(undefined);
	});

	it('measures the delay from the first report of a newer version', () => {
		const clock = createVirtualClock();
		const tracker = createVersionTracker(clock);
		tracker.recordApplied('store', 1);
		tracker.recordReport('node-2', 2);
		clock.advanceTo(500);
		tracker.recordReport('node-2', 3);
		clock.advanceTo(800);
		expect(tracker.recordApplied('store', 3).delay).to.equal(800);
	});

	it('drops the source that has been silent for longest', () => {
		// Guards against metrics that grow with each node that ever joined.
		const clock = createVirtualClock();
		const tracker = createVersionTracker(clock);
		for (let node = 0; node < 1000; node++) {
			tracker.recordReport(`node-${node}`, 1);
		}

		const {silence} = tracker.readings();
		expect(Object.keys(silence)).to.have.length(64);
		expect(silence).to.have.property('node-999');
	});
});
