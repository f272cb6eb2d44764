import {expect} from 'chai';
import {createRandom} from '@egretspoke/shared';
import {
	createCallProfile,
	type CallProfile,
} from '../src/decisions/admission/call-profile.js';

describe('call profile', () => {
	type SimulatedRoutes = Record<
		string,
		{rate: number; calls: Record<string, number>}
	>;

	const simulateRequest = (
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

	/** Simulates seconds at a target: requests per second of each route, and the calls that each request makes. */
	const simulate = (
		seconds: number,
		routes: SimulatedRoutes,
		profile = createCallProfile(),
	) => {
		const random = createRandom(7);
		for (let second = 0; second < seconds; second++) {
			for (const [route, {rate, calls}] of Object.entries(routes)) {
				const requests = Math.round(rate * (0.6 + 0.8 * random.fraction()));
				for (let request = 0; request < requests; request++) {
					simulateRequest(profile, route, calls);
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

	it('distinguishes a route that makes calls from one that makes none by the sum of the calls', () => {
		// Downloads and index lookups run at one target. Only lookups call a deeper
		// service, four times each. If the routes were not distinguished, downloads
		// would be refused whenever that service is full, although they never use it.
		const profile = simulate(15, {
			lookup: {rate: 150, calls: {state: 4}},
			download: {rate: 7, calls: {}},
		});
		expect(callsOf(profile, 'lookup', 'state')).to.be.within(3.8, 4.2);
		expect(callsOf(profile, 'download', 'state')).to.be.below(0.3);
	});

	it('attributes no calls to a route because others are slow', () => {
		// A deeper service is full, and lookups wait for it. In one second many
		// start and few calls are made; in another it is the reverse. By chance this
		// correlates with the number of downloads, which would be refused for calls
		// that they don't cause.
		const profile = createCallProfile();
		const random = createRandom(11);
		let waiting = 0;
		for (let second = 0; second < 30; second++) {
			const lookups = Math.round(150 * (0.6 + 0.8 * random.fraction()));
			const downloads = Math.round(14 * random.fraction());
			const madeCalls = Math.round(
				(waiting + 4 * lookups) * (0.4 + 0.5 * random.fraction()),
			);
			waiting += 4 * lookups - madeCalls;
			for (let run = 0; run < lookups; run++) {
				profile.recordRun('lookup');
			}

			for (let run = 0; run < downloads; run++) {
				profile.recordRun('download');
			}

			for (let call = 0; call < madeCalls; call++) {
				profile.recordCall('state');
			}

			profile.update();
			expect(callsOf(profile, 'download', 'state'), `${second} s`).to.be.below(
				0.3,
			);
		}

		expect(callsOf(profile, 'lookup', 'state')).to.be.above(1);
	});

	it('estimates the calls of two routes to two others', () => {
		const profile = simulate(30, {
			page: {rate: 40, calls: {ledger: 2}},
			order: {rate: 30, calls: {ledger: 1, stock: 3}},
		});
		expect(callsOf(profile, 'page', 'ledger')).to.be.within(1.7, 2.3);
		expect(callsOf(profile, 'page', 'stock')).to.be.below(0.3);
		expect(callsOf(profile, 'order', 'ledger')).to.be.within(0.7, 1.3);
		expect(callsOf(profile, 'order', 'stock')).to.be.within(2.7, 3.3);
	});

	it('follows a change of the graph within half a minute', () => {
		// After a release, a page makes two calls instead of one. With an old
		// estimate the page costs twice what it is refused for, and others are refused instead.
		const order = {rate: 30, calls: {}};
		const profile = simulate(30, {page: {rate: 40, calls: {ledger: 1}}, order});
		simulate(30, {page: {rate: 40, calls: {ledger: 2}}, order}, profile);
		expect(callsOf(profile, 'page', 'ledger')).to.be.within(1.7, 2.2);
	});

	it('reports no change when nothing has changed', () => {
		const profile = simulate(20, {page: {rate: 40, calls: {ledger: 1}}});
		expect(profile.update()).to.equal(false);
	});

	it('tracks a bounded number of routes', () => {
		const profile = createCallProfile();
		for (let route = 0; route < 100; route++) {
			profile.recordRun(`route-${route}`);
		}

		profile.update();
		expect(profile.profiles()).to.have.length(12);
	});

	describe('of a route with few requests', () => {
		const isLeaf = (profile: CallProfile, route: string) =>
			profile.profiles().find((one) => one.route === route)?.isLeaf;

		it('is not a leaf', () => {
			// After a restart under load the first requests have started and their
			// calls come later. If the route counted as a leaf, it would get the retry
			// budget of a leaf and its requests would not be shed for deeper services,
			// so trees of calls would start that can't complete.
			const profile = createCallProfile();
			profile.recordRun('lookup');
			profile.update();
			expect(isLeaf(profile, 'lookup')).to.equal(false);
		});

		for (const failing of [0.1, 1 / 3, 0.9]) {
			it(`is not a leaf while ${Math.round(failing * 100)} % of its requests fail before they make calls`, () => {
				// A node starts under load, and a part of the requests ends before making
				// its calls.
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

		it('is a leaf after some seconds if it makes no calls', () => {
			const profile = simulate(5, {
				lookup: {rate: 150, calls: {state: 4}},
				download: {rate: 30, calls: {}},
			});
			expect(isLeaf(profile, 'download')).to.equal(true);
			expect(isLeaf(profile, 'lookup')).to.equal(false);
		});
	});
});
