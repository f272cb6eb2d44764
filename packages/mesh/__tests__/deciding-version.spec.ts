import {createVersionTracker, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createDecidingVersion} from '../src/configuration/deciding-version.js';

describe('the configuration that decides about a request', () => {
	it('names the version in force, and since when a newer one was known', () => {
		const clock = createVirtualClock();
		const versions = createVersionTracker(clock);
		let current = 0;
		const decidedBy = createDecidingVersion(versions, () => current);
		expect(decidedBy()).to.deep.equal({configuration: 0});
		current = 4;
		versions.recordApplied('store', 4);
		expect(decidedBy()).to.deep.equal({configuration: 4});
		versions.recordReport('node-2', 6);
		clock.advanceTo(350);
		expect(decidedBy()).to.deep.equal({
			configuration: 4,
			newerConfiguration: 6,
			newerKnownFor: 350,
		});
	});
});
