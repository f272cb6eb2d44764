import type {Platform} from '@egretspoke/storage';
import {okAsync} from 'neverthrow';
import {expect} from 'chai';
import {startFixtureWith} from './listener-fixture.js';

describe('a part of a node that fails', () => {
	it('shows in the status while the node serves', async () => {
		// An odd row makes each read of the table throw. Without the status an
		// operator would see a healthy node that takes no new configuration.
		const broken = () => {
			throw new Error('an odd row');
		};

		const platform: Platform = {
			table: {
				read: broken,
				list: () => okAsync([]),
				transact: () => okAsync([]),
			},
			objects: {
				get: () => okAsync(undefined),
				put: () => okAsync(undefined),
			},
		};
		const fixture = await startFixtureWith({
			platform,
			timings: '{configurationRead: 10ms}',
		});
		let status: {failing?: Array<{path: string; detail: string}>} = {};
		const isListed = () =>
			status.failing?.some(({path}) => path === 'root/configuration') === true;
		while (!isListed()) {
			// eslint-disable-next-line no-await-in-loop -- polls until it is true.
			const {text} = await fixture.callAdmin('/v1/status');
			status = JSON.parse(text) as typeof status;
		}

		expect(status.failing?.[0]?.detail).to.equal('an odd row');
		const restarts = await fixture.count(
			'egretspoke_child_restarts_total{child="root/configuration"}',
		);
		expect(restarts).to.be.at.least(1);
		expect(await fixture.sendRequest()).to.deep.equal({
			status: 200,
			text: 'done',
		});
		await fixture.close();
	});
});
