import {expect} from 'chai';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {
	completionChance,
	completionLevel,
	coveredShare,
	refusalWeight,
	repeatsPerCall,
} from '../src/decisions/admission/completion-chance.js';
import {findDecliningServices} from '../src/decisions/admission/service-declines.js';
import {
	egretspokePolicy,
	withoutMechanisms,
} from '../src/decisions/mesh-policy.js';
import {createDeclinedShare} from '../src/decisions/repeats/declined-share.js';
import {fromCompact} from '../src/links/compact-decoder.js';
import {createCompletionPressure} from '../src/entry/completion-pressure.js';
import {idleLoad} from '../src/links/exchange.js';
import {
	runTime,
	simulateDecliningFleet,
	windowLength,
	type FleetWindow,
} from './declining-fleet.js';
import {
	failedShare,
	kinds,
	runsPerSecond,
	servedWorth,
	shareOf,
} from './declining-load.js';

describe('load report', () => {
	it('of a node of an earlier version states no declined share', () => {
		// Nodes of two versions communicate during a release. Without a default, the
		// share would not be a number, and no comparison with it would hold.
		const earlier = [3, 500, 0, 0, 20, -1];
		expect(fromCompact(earlier)).to.deep.equal({
			kind: 'load',
			load: {
				...idleLoad,
				occupancy: 0.5,
				runTime: 20,
				rate: {limit: Number.POSITIVE_INFINITY, occupancy: 0},
			},
		});
	});
});

describe('completion pressure', () => {
	it('refuses a route of whose calls some are unknown', () => {
		// Nodes of a large fleet see rare calls whose own calls nobody knows. If that
		// hid the known ones, the requests would be admitted and fail midway.
		const graph = createCallGraph();
		graph.setProfiles('front', 'front', [
			{
				route: 'page',
				runTime: 10,
				calls: [
					{route: 'feed', count: 4},
					{route: 'unknown', count: 1},
				],
				isLeaf: false,
			},
		]);
		graph.setProfiles('deep', 'deep', [
			{route: 'feed', runTime: 10, calls: [], isLeaf: true},
		]);
		const page = {
			route: 'page',
			service: 'front',
			priority: 0,
			workspace: undefined,
			requests: 1,
		};
		const pressure = createCompletionPressure({
			graph,
			declining: () => new Map([['deep', {declined: 0.55, level: 0}]]),
			recentWork: new Map([['0 page', page]]),
		});
		pressure.read();
		expect(pressure.shareRefused(page, '0 page')).to.be.above(0.8);
	});
});

describe('completion chance', () => {
	it('counts the calls below the first service and the covered repeats', () => {
		const graph = createCallGraph();
		const setProfile = (
			service: string,
			route: string,
			called: string,
			count: number,
		) => {
			graph.setProfiles(service, service, [
				{
					route,
					runTime: 10,
					calls: count > 0 ? [{route: called, count}] : [],
					isLeaf: count === 0,
				},
			]);
		};

		setProfile('front', 'page', 'lookup', 2);
		setProfile('middle', 'lookup', 'feed', 4);
		setProfile('deep', 'feed', '', 0);
		const callsAt = graph.callsTo('deep');
		expect(callsAt('page', 'front')).to.equal(8);
		expect(callsAt('lookup', 'middle')).to.equal(4);
		// Its own run at the first service is no call: a declined offer of it is a true refusal.
		expect(callsAt('feed', 'deep')).to.equal(0);
		const served = 0.45 + (0.55 * repeatsPerCall * 0.45) / 0.55;
		const chance = completionChance(
			new Map([['deep', {declined: 0.55, level: 0}]]),
			() => 8,
		);
		expect(chance).to.be.closeTo(served ** 8, 1e-9);
		expect(refusalWeight(chance)).to.equal(1);
		expect(refusalWeight(0.95)).to.equal(0);
	});

	it('refuses nothing while the repeats suffice', () => {
		expect(coveredShare(0.1)).to.equal(1);
		expect(completionLevel({declined: 0.1, level: 0})).to.equal(0);
	});
});

describe('declined share of a service', () => {
	const target = (slots: number, declined: number, demand: number) => ({
		service: 'deep',
		slots,
		declined,
		declineLevel: 0,
		demand,
	});

	it('ignores declining targets that the others replace', () => {
		// One target of four declines everything, and target selection avoids it. If
		// it counted by its slots, a third of the requests would be refused for nothing.
		const targets = [1, 0, 0, 0].map((declined) => target(10, declined, 0.6));
		expect(findDecliningServices(targets).get('deep')?.declined).to.equal(0);
	});

	it('counts them for the demand that exceeds the others', () => {
		const targets = [0.6, 0.6, 0, 0].map((declined) =>
			target(10, declined, 0.9),
		);
		const {declined} = findDecliningServices(targets).get('deep')!;
		expect(declined).to.be.closeTo(0.6 * (0.4 / 0.9), 1e-9);
	});

	it('is not affected by a service that declines nothing', () => {
		expect(findDecliningServices([target(10, 0, 0.9)]).size).to.equal(0);
	});
});

describe('declined share of a target', () => {
	it('stays while few offers come, and falls within a second after the end', () => {
		// Entry nodes admit few requests while a target declines. If the share became
		// 0 for lack of offers, they would admit everything and refuse it again, in turns.
		const share = createDeclinedShare();
		for (let at = 0; at < 10_000; at += 80) {
			share.record(at % 160 === 0, at);
		}

		expect(share.value(10_000)).to.be.closeTo(0.5, 0.1);
		for (let at = 10_000; at < 11_000; at += 80) {
			share.record(false, at);
		}

		expect(share.value(11_000)).to.be.below(0.05);
	});
});

const targets = 4;
const start = 22_000;
const end = start + 8500;

/**
 * The feasible share of the worth. Plain requests are all served and direct
 * ones by the share that isn't declined. Repeats of 0.18 per run make a part of
 * the calls whole, each with d / (1 − d) of them; these go to commits and to
 * single calls, which cost so much less that they are refused together.
 */
const feasible = (declined: number) => {
	const covered = (0.18 * runsPerSecond * (1 - declined)) / declined;
	const first = Math.min(1, covered / (40 * 8 + 60));
	const pages = Math.min(1, Math.max(0, covered - 380) / 400);
	return (100 + 80 * (1 - declined) + (120 + 60) * first + 100 * pages) / 460;
};

const simulate = (
	options: Partial<Parameters<typeof simulateDecliningFleet>[0]>,
) =>
	simulateDecliningFleet({
		kinds,
		entries: 6,
		targets,
		slots: Math.ceil((runsPerSecond * runTime) / 1000 / targets / 0.7),
		reportDelay: 200,
		declinedAt: (now) => (now >= start && now < end ? 0.55 : 0),
		duration: 42_000,
		policy: egretspokePolicy,
		seed: 1,
		...options,
	});

describe('a deep service whose targets decline 0.55 of their calls for 8.5 s', () => {
	// Requests with four and eight calls are admitted and fail midway, since one of
	// their calls ends declined. They take the bounded repeats from each other, so
	// that hardly any request that needs the deep service completes.
	for (const [entries, reportDelay] of [
		[3, 800],
		[6, 20],
		[6, 200],
		[200, 200],
	] as const) {
		describe(`with ${entries} entry nodes that hear after ${reportDelay} ms`, () => {
			const windows = simulate({entries, reportDelay});
			const first = (start + 2000) / windowLength;
			const during = windows.slice(first, first + 3);
			const after = windows.slice(Math.ceil((end + 3000) / windowLength), -2);

			it('serves 0.8 of what is feasible in each window', () => {
				expect(feasible(0.55)).to.be.closeTo(0.42, 0.01);
				for (const window of during) {
					expect(servedWorth(window)).to.be.above(0.8 * feasible(0.55));
				}
			});

			it('fails at most a tenth of what it admits', () => {
				expect(failedShare(during)).to.be.below(0.1);
			});

			it('serves requests that do not need the service', () => {
				for (const window of during) {
					expect(shareOf(window, 'plain')).to.be.above(0.97);
				}
			});

			it('serves direct requests by what their offers achieve', () => {
				for (const window of during) {
					expect(shareOf(window, 'direct')).to.be.above(0.4);
				}
			});

			it('serves everything again from 3 s after the end', () => {
				expect(after.length).to.be.above(0);
				for (const window of after) {
					expect(servedWorth(window)).to.be.above(0.95);
				}
			});
		});
	}

	it('is served worse without the mechanism', () => {
		const policy = withoutMechanisms(
			egretspokePolicy,
			'completionChance',
		)._unsafeUnwrap();
		const meanOf = (windows: FleetWindow[]) =>
			windows.slice(12, 15).reduce((sum, one) => sum + servedWorth(one), 0) / 3;
		expect(meanOf(simulate({}))).to.be.above(1.2 * meanOf(simulate({policy})));
	});

	it('serves direct and plain requests while targets decline for longer than the window of the bound', () => {
		// The bound on repeats follows the admitted requests, so little is left after a
		// window. What the deep calls could still complete is negligible then.
		const windows = simulate({
			declinedAt: (now) => (now >= start && now < 44_000 ? 0.55 : 0),
			duration: 52_000,
		});
		for (const window of windows.slice(16, 22)) {
			expect(servedWorth(window)).to.be.above(0.8 * ((100 + 36) / 460));
			expect(shareOf(window, 'plain')).to.be.above(0.97);
		}

		expect(servedWorth(windows[24]!)).to.be.above(0.95);
	});
});
