import {expect} from 'chai';
import {createRandom} from '@egretspoke/shared';
import {
	closeLevelWindow,
	createAdmissionLevel,
	maxLevel,
	recordArrival,
	recordSlotTime,
} from '../src/admission-level.js';
import {hashFraction} from '../src/chain-hash.js';
import {
	createConcurrencyLimit,
	recordFull,
	recordLatency,
	recordShed,
} from '../src/concurrency-limit.js';
import {
	computePriority,
	createFairShare,
	isOverSharePriority,
	recordDemand,
	updateShares,
} from '../src/fair-share.js';
import {
	beginChain,
	chainPriority,
	createDownstreamLevels,
	downstreamLevel,
	endChain,
	recordDownstreamLevel,
} from '../src/downstream-levels.js';

describe('concurrency limit', () => {
	/** Runs windows with full slots; latency is a function of the current limit. */
	const runWindows = (latency: (limit: number) => number, windows: number) => {
		const state = createConcurrencyLimit(40);
		for (let sample = 0; sample < windows * 120; sample++) {
			recordFull(state);
			recordLatency(state, sample < 240 ? 1 : latency(state.limit));
		}

		return state.limit;
	};

	// The target has ten processors but announces forty slots. Beyond ten
	// requests each further one only makes the others slower, and clients see
	// latency without more throughput.
	it('lowers the limit when latency grows with the requests in flight', () => {
		expect(runWindows((limit) => limit / 10, 30)).to.be.within(10, 30);
	});

	// A downstream service has become slow. Fewer requests in flight would not
	// make it faster; a lower limit would only waste slots and goodput.
	it('keeps the limit when latency rises independently of it', () => {
		expect(runWindows(() => 3, 30)).to.equal(40);
	});

	it('has a minimum, even for a target that always sheds', () => {
		const state = createConcurrencyLimit(40);
		for (let sample = 0; sample < 10_000; sample++) {
			recordFull(state);
			recordShed(state, state.limit);
			recordLatency(state, 1);
		}

		expect(state.limit).to.be.at.least(4);
	});

	it('ignores a shed at low load', () => {
		const state = createConcurrencyLimit(40);
		recordShed(state, 3);
		expect(state.limit).to.equal(40);
	});
});

describe('admission level', () => {
	const target = {limit: 10, serviceTime: 50};
	const queued = [{priority: 130, slotTime: 500}];

	/** Runs windows of 200 ms with work spread evenly over the normal class. */
	const runLevelWindows = (
		state: ReturnType<typeof createAdmissionLevel>,
		count: number,
		load: number,
		use: number,
	) => {
		for (let window = 0; window < count; window++) {
			const now = state.windowStart + 200;
			for (let number = 128; number < 256; number++) {
				recordArrival(state, number, (load * 2000) / 128);
			}

			recordSlotTime(state, use * 10, now);
			const waiting = use < 1 ? [] : queued;
			closeLevelWindow(state, {...target, waiting}, now);
		}
	};

	it('falls to what the slots can run, and recovers', () => {
		const state = createAdmissionLevel(0);
		runLevelWindows(state, 6, 4, 1);
		expect(state.level).to.be.within(128, 170);
		// The level may take three seconds to recover.
		runLevelWindows(state, 15, 0.5, 0.5);
		expect(state.level).to.equal(maxLevel);
	});

	it('admits all requests while slots are idle', () => {
		const state = createAdmissionLevel(0);
		runLevelWindows(state, 10, 0.9, 0.9);
		expect(state.level).to.equal(maxLevel);
	});
});

describe('fair share', () => {
	const facts = (caller: string, index: number) => ({
		requestClass: 'normal' as const,
		caller,
		chain: `request-${index}`,
		isLong: false,
	});

	/** One caller sent 1,000 requests recently, twenty others 50 each. */
	const createSettledShares = () => {
		const state = createFairShare(0);
		for (let index = 0; index < 1000; index++) {
			recordDemand(state, facts('heavy', 0));
			recordDemand(state, facts(`light-${index % 20}`, 0));
		}

		updateShares(state, 0);
		return state;
	};

	const numbersOf = (caller: string) =>
		Array.from({length: 1000}, (_, index) =>
			computePriority(createSettledShares(), facts(caller, index)),
		);

	it('numbers only requests above twice the median last', () => {
		const over = numbersOf('heavy').filter((number) =>
			isOverSharePriority(number),
		);
		expect(over.length).to.be.within(880, 920);
		expect(Math.max(...numbersOf('light-3'))).to.be.lessThan(256);
	});

	it('never numbers essential requests last', () => {
		for (let index = 0; index < 100; index++) {
			const essential = {
				...facts('heavy', index),
				requestClass: 'essential' as const,
			};
			expect(computePriority(createSettledShares(), essential)).to.be.lessThan(
				128,
			);
		}
	});

	// Forty callers send at the same rate, but by chance one of them sent more
	// in these two seconds. It must not lose requests because of that.
	it('does not count a caller as heavy because of random variation', () => {
		const state = createFairShare(0);
		const random = createRandom(5);
		for (let index = 0; index < 400; index++) {
			recordDemand(state, facts(`caller-${random.below(40)}`, 0));
		}

		updateShares(state, 0);
		const totals = [...state.callers.values()].map(({total}) => total);
		expect(Math.max(...totals)).to.be.lessThan(state.heavyCount);
	});

	it('limits the number of tracked callers and drops idle ones', () => {
		const state = createFairShare(0);
		for (let index = 0; index < 5000; index++) {
			recordDemand(state, facts(`caller-${index}`, 0));
		}

		expect(state.callers.size).to.equal(1024);
		updateShares(state, 20_000);
		expect(state.callers.size).to.equal(0);
	});
});

describe('chain hash', () => {
	it('spreads consecutive names evenly', () => {
		const buckets = Array.from({length: 10}, () => 0);
		for (let index = 0; index < 10_000; index++) {
			buckets[Math.floor(hashFraction(`request-${index}`) * 10)]!++;
		}

		expect(Math.min(...buckets)).to.be.greaterThan(900);
	});
});

describe('downstream levels', () => {
	const learn = (
		state: ReturnType<typeof createDownstreamLevels>,
		levels: number[],
	) => {
		for (const level of levels) {
			recordDownstreamLevel(state, 'chain', {service: 'deep', level, now: 0});
		}
	};

	it('records a level for the operation that called the service', () => {
		const state = createDownstreamLevels();
		beginChain(state, 'chain', 'GET /board', 77);
		learn(state, [150, 150, 150]);
		expect(downstreamLevel(state, 'GET /board', 10)).to.equal(150);
		expect(downstreamLevel(state, 'GET /other', 10)).to.equal(maxLevel);
		expect(chainPriority(state, 'chain')).to.equal(77);
		endChain(state, 'chain');
		expect(chainPriority(state, 'chain')).to.equal(undefined);
	});

	// One report in ten is wrong and reports a level that admits no request. If
	// it were applied, the operation would be refused while the service is idle.
	it('ignores a wrong report among right ones', () => {
		const state = createDownstreamLevels();
		beginChain(state, 'chain', 'GET /board', 0);
		learn(state, [383, 383, -1, 383, 383, 383, -1, 383, 383]);
		expect(downstreamLevel(state, 'GET /board', 10)).to.equal(maxLevel);
	});

	// The downstream service has recovered, but all requests are refused before
	// they reach it, so no answer carries the new level. Without relaxing, the
	// refusals would last forever.
	it('admits all requests again when the level is not confirmed', () => {
		const state = createDownstreamLevels();
		beginChain(state, 'chain', 'GET /board', 0);
		learn(state, [100]);
		expect(downstreamLevel(state, 'GET /board', 1500)).to.be.greaterThan(200);
		expect(downstreamLevel(state, 'GET /board', 2000)).to.equal(maxLevel);
	});
});
