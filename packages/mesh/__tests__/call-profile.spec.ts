import {expect} from 'chai';
import {createRandom} from '@egretspoke/shared';
import {
	createCallProfile,
	type CallProfile,
} from '../src/decisions/call-profile.js';

describe('the profile of calls', () => {
	type Played = Record<string, {rate: number; calls: Record<string, number>}>;

	const playRequest = (
		profile: CallProfile,
		route: string,
		calls: Record<string, number>,
	) => {
		profile.recordRun(route);
		for (const [called, count] of Object.entries(calls)) {
			for (let call = 0; call < count; call++) {
				profile.recordCall(called);
			}
		}
	};

	/** Plays seconds at a target; a route is so many requests a second, which make so many calls each. */
	const play = (
		seconds: number,
		routes: Played,
		profile = createCallProfile(),
	) => {
		const random = createRandom(7);
		for (let second = 0; second < seconds; second++) {
			for (const [route, {rate, calls}] of Object.entries(routes)) {
				const requests = Math.round(rate * (0.6 + 0.8 * random.fraction()));
				for (let request = 0; request < requests; request++) {
					playRequest(profile, route, calls);
				}
			}

			profile.update();
		}

		return profile;
	};

	const callsOf = (profile: CallProfile, route: string, called: string) =>
		profile
			.profiles()
			.find((one) => one.route === route)
			?.calls.find((call) => call.route === called)?.count ?? 0;

	it('tells a route that makes calls from one that makes none, from their sum alone', () => {
		// Downloads and index lookups run at one target. Only lookups call a deeper
		// service, four times each. Taken together, downloads are refused whenever
		// that service is full, and their users never needed it.
		const profile = play(15, {
			lookup: {rate: 150, calls: {state: 4}},
			download: {rate: 7, calls: {}},
		});
		expect(callsOf(profile, 'lookup', 'state')).to.be.within(3.8, 4.2);
		expect(callsOf(profile, 'download', 'state')).to.be.below(0.3);
	});

	it('puts no calls down to a route because others are slow', () => {
		// A deeper service is full, and lookups wait for it. In one second many
		// begin and few calls are made, in another it is the other way round. By
		// chance that goes with the number of downloads, whose users would be
		// refused for calls that they don't cause.
		const profile = createCallProfile();
		const random = createRandom(11);
		let waiting = 0;
		for (let second = 0; second < 30; second++) {
			const lookups = Math.round(150 * (0.6 + 0.8 * random.fraction()));
			const downloads = Math.round(14 * random.fraction());
			const made = Math.round(
				(waiting + 4 * lookups) * (0.4 + 0.5 * random.fraction()),
			);
			waiting += 4 * lookups - made;
			for (let run = 0; run < lookups; run++) {
				profile.recordRun('lookup');
			}

			for (let run = 0; run < downloads; run++) {
				profile.recordRun('download');
			}

			for (let call = 0; call < made; call++) {
				profile.recordCall('state');
			}

			profile.update();
			expect(callsOf(profile, 'download', 'state'), `${second} s`).to.be.below(
				0.3,
			);
		}

		expect(callsOf(profile, 'lookup', 'state')).to.be.above(1);
	});

	it('tells how many calls each of two routes makes to two others', () => {
		const profile = play(30, {
			page: {rate: 40, calls: {ledger: 2}},
			order: {rate: 30, calls: {ledger: 1, stock: 3}},
		});
		expect(callsOf(profile, 'page', 'ledger')).to.be.within(1.7, 2.3);
		expect(callsOf(profile, 'page', 'stock')).to.be.below(0.3);
		expect(callsOf(profile, 'order', 'ledger')).to.be.within(0.7, 1.3);
		expect(callsOf(profile, 'order', 'stock')).to.be.within(2.7, 3.3);
	});

	it('follows a change of the graph within half a minute', () => {
		// A release makes a page ask twice instead of once. Believed for long, the
		// page costs twice what it is refused for, and others pay for it.
		const order = {rate: 30, calls: {}};
		const profile = play(30, {page: {rate: 40, calls: {ledger: 1}}, order});
		play(30, {page: {rate: 40, calls: {ledger: 2}}, order}, profile);
		expect(callsOf(profile, 'page', 'ledger')).to.be.within(1.7, 2.2);
	});

	it('tells only what has changed', () => {
		const profile = play(20, {page: {rate: 40, calls: {ledger: 1}}});
		expect(profile.update()).to.equal(false);
	});

	it('keeps to a bounded number of routes', () => {
		const profile = createCallProfile();
		for (let route = 0; route < 100; route++) {
			profile.recordRun(`route-${route}`);
		}

		profile.update();
		expect(profile.profiles()).to.have.length(12);
	});

	describe('of a route of which little was seen', () => {
		const isLeaf = (profile: CallProfile, route: string) =>
			profile.profiles().find((one) => one.route === route)?.isLeaf;

		it('is not certain to make no calls', () => {
			// After a restart under load the first requests have begun and their calls
			// come later. Told to call nobody, they get the repeats of a leaf and no
			// level goes up to them, and trees of calls are begun that can't end.
			const profile = createCallProfile();
			profile.recordRun('lookup');
			profile.update();
			expect(isLeaf(profile, 'lookup')).to.equal(false);
		});

		for (const failing of [0.1, 1 / 3, 0.9]) {
			it(`is never taken for one that makes none while ${Math.round(failing * 100)} % of its requests fail`, () => {
				// A node starts under load, and a part of the requests ends before it has
				// made its calls.
				const profile = createCallProfile();
				const random = createRandom(5);
				for (let second = 0; second < 10; second++) {
					for (let run = 0; run < 40; run++) {
						profile.recordRun('lookup');
						const calls = random.fraction() < failing ? 0 : 4;
						for (let call = 0; call < calls; call++) {
							profile.recordCall('state');
						}
					}

					profile.update();
					expect(isLeaf(profile, 'lookup')).to.equal(false);
				}
			});
		}

		it('is certain after some seconds of a route that makes none', () => {
			const profile = play(5, {
				lookup: {rate: 150, calls: {state: 4}},
				download: {rate: 30, calls: {}},
			});
			expect(isLeaf(profile, 'download')).to.equal(true);
			expect(isLeaf(profile, 'lookup')).to.equal(false);
		});
	});
});
