import {expect} from 'chai';
import fc from 'fast-check';
import {ErrorCode, requestClasses} from '@egretspoke/protocol';
import {createRandom} from '@egretspoke/shared';
import {
	createAdmissionOf,
	createCall,
	servedShare,
	simulateTarget,
	type Stream,
} from './fixtures.js';

const stream = (
	load: number,
	call: Stream['call'],
	changes: Partial<Stream> = {},
): Stream => ({
	// Load 1 keeps twenty slots of 50 ms busy.
	rate: (load * 20) / 50,
	duration: 50,
	callerTimeout: 1000,
	call,
	...changes,
});

describe('admission', () => {
	describe('under light load', () => {
		it('serves all requests', () => {
			const {endings} = simulateTarget(
				createAdmissionOf(20),
				[stream(0.4, {}), stream(0.1, {requestClass: 'deferrable'})],
				20_000,
			);
			expect(servedShare(endings, 0)).to.equal(1);
			expect(servedShare(endings, 1)).to.equal(1);
		});
	});

	describe('in a burst', () => {
		// For two seconds three times as many requests arrive as the slots can
		// run. Without a time limit the queue holds requests whose callers have
		// given up, and clients see errors long after the burst.
		it('serves what the slots can run, and all requests after the burst', () => {
			const admission = createAdmissionOf(20);
			const {endings} = simulateTarget(admission, [stream(3, {})], 2000);
			expect(servedShare(endings, 0)).to.be.greaterThan(0.3);
			const after = [createCall('after', {deadline: 20_000})];
			expect(
				after.map((call) => admission.arrive(call, 10_000).kind),
			).to.deep.equal(['dispatch']);
		});

		it('refuses immediately with varying retry-after times', () => {
			const admission = createAdmissionOf(1);
			admission.arrive(createCall('running', {deadline: 5000}), 0);
			admission.finish('running', {duration: 100, result: 'ok'}, 100);
			admission.arrive(createCall('next', {deadline: 5000}), 100);
			const times = [1, 2, 3, 4].map((number) => {
				const call = createCall(`hasty-${number}`, {deadline: 150});
				const decision = admission.arrive(call, 101);
				return decision.kind === 'refuse' ? decision.retryAfter : 0;
			});
			expect(Math.min(...times)).to.be.at.least(100);
			expect(new Set(times).size).to.be.greaterThan(1);
		});
	});

	describe('at saturation', () => {
		// Twice as many requests arrive as the target can run, for a long time. A
		// limit that counts waiting as slowness would throttle a healthy target
		// and lose goodput.
		it('keeps the slots busy and serves essential requests', () => {
			const {endings, maxRunning} = simulateTarget(
				createAdmissionOf(20),
				[
					stream(0.5, {requestClass: 'essential'}),
					stream(1, {requestClass: 'normal'}),
					stream(0.5, {requestClass: 'deferrable'}),
				],
				30_000,
			);
			expect(maxRunning).to.equal(20);
			expect(servedShare(endings, 0)).to.be.greaterThan(0.99);
			expect(servedShare(endings, 1, 3000)).to.be.within(0.42, 0.52);
			expect(servedShare(endings, 2, 3000)).to.be.lessThan(0.1);
		});

		// The same without classes: essential requests, such as payments, are
		// refused as often as deferrable reports.
		it('loses essential requests without classes', () => {
			const {endings} = simulateTarget(
				createAdmissionOf(20, ['classes']),
				[
					stream(0.5, {requestClass: 'essential'}),
					stream(1.5, {requestClass: 'deferrable'}),
				],
				30_000,
			);
			expect(servedShare(endings, 0)).to.be.lessThan(0.7);
		});
	});

	describe('with a few heavy callers', () => {
		// One caller sends three times what the target can run; nine others send
		// little each. Without shares all callers are refused in the same
		// proportion, and nine lose requests because of one.
		const streams = [
			stream(3, {caller: 'heavy'}),
			...Array.from({length: 9}, (_, index) =>
				stream(0.05, {caller: `light-${index}`}),
			),
		];
		const lightShare = (without: Parameters<typeof createAdmissionOf>[1]) => {
			const {endings} = simulateTarget(
				createAdmissionOf(20, without),
				streams,
				30_000,
			);
			const light = endings.filter(
				(ending) => ending.stream > 0 && ending.arrivedAt > 3000,
			);
			const served = light.filter(({result}) => result === 'served');
			return served.length / light.length;
		};

		it('refuses the heavy caller first', () => {
			expect(lightShare([])).to.be.greaterThan(0.98);
		});

		it('refuses all callers alike without fair shares', () => {
			expect(lightShare(['fair-share'])).to.be.lessThan(0.7);
		});
	});

	describe('with long and short operations', () => {
		// Reports of two seconds arrive along with orders of 50 ms, and together
		// they exceed the slots. Without a limit reports occupy all slots, and
		// orders time out.
		const streams = [
			stream(0.6, {operation: 'POST /orders'}),
			stream(
				1.5,
				{operation: 'GET /reports'},
				{
					rate: (1.5 * 20) / 2000,
					duration: 2000,
					callerTimeout: 10_000,
				},
			),
		];

		it('reserves slots for short operations', () => {
			const {endings} = simulateTarget(createAdmissionOf(20), streams, 60_000);
			expect(servedShare(endings, 0, 10_000)).to.be.greaterThan(0.97);
			expect(servedShare(endings, 1, 10_000)).to.be.greaterThan(0.1);
		});
	});

	describe('with a planned stop', () => {
		// The target is leaving while requests wait. Requests left in the queue
		// would be cut when the process ends.
		it('refuses all waiting requests', () => {
			const admission = createAdmissionOf(1);
			admission.arrive(createCall('running'), 0);
			admission.arrive(createCall('waiting'), 1);
			const [turn, ...others] = admission.drain(2);
			expect(turn).to.include({id: 'waiting', code: ErrorCode.Leaving});
			expect(others).to.deep.equal([]);
			expect(admission.withdraw('waiting', 3)).to.equal(false);
		});
	});

	describe('with random streams', () => {
		const streams = fc.array(
			fc.record({
				rate: fc.double({min: 0.001, max: 2, noNaN: true}),
				duration: fc.double({min: 1, max: 500, noNaN: true}),
				callerTimeout: fc.double({min: 1, max: 2000, noNaN: true}),
				call: fc.record({
					requestClass: fc.constantFrom(...requestClasses),
					caller: fc.constantFrom('a', 'b', 'c'),
					operation: fc.constantFrom('GET /a', 'GET /b'),
				}),
			}),
			{minLength: 1, maxLength: 4},
		);

		it('ends every request once and never exceeds the slots', () => {
			fc.assert(
				fc.property(
					streams,
					fc.integer({min: 1, max: 30}),
					fc.integer(),
					(randomStreams, slots, seed) => {
						const {endings, maxRunning} = simulateTarget(
							createAdmissionOf(slots),
							randomStreams,
							1500,
							createRandom(seed),
						);
						const names = new Set(endings.map(({call}) => call.id));
						expect(names.size).to.equal(endings.length);
						expect(maxRunning).to.be.at.most(slots);
						for (let number = 0; number < endings.length; number++) {
							expect(names.has(`call-${number}`)).to.equal(true);
						}
					},
				),
				{numRuns: 60, seed: 20_261_202},
			);
		});

		it('gives no slot to a lower class while a higher one waits', () => {
			const arrivals = fc.array(fc.constantFrom(...requestClasses), {
				minLength: 1,
				maxLength: 60,
			});
			fc.assert(
				fc.property(arrivals, fc.integer({min: 1, max: 5}), (order, slots) => {
					const admission = createAdmissionOf(slots);
					const ranks = new Map<string, number>();
					const running: string[] = [];
					for (const [index, requestClass] of order.entries()) {
						const call = createCall(String(index), {requestClass});
						const {kind} = admission.arrive(call, index);
						if (kind === 'dispatch') {
							running.push(call.id);
						} else if (kind === 'wait') {
							ranks.set(call.id, requestClasses.indexOf(requestClass));
						}
					}

					let now = order.length;
					while (running.length > 0) {
						const completion = {duration: 20, result: 'ok' as const};
						admission.finish(running.shift()!, completion, ++now);
						for (const turn of admission.processQueue(now)) {
							const rank = ranks.get(turn.id)!;
							ranks.delete(turn.id);
							if (turn.kind === 'dispatch') {
								running.push(turn.id);
								expect(Math.min(rank, ...ranks.values())).to.equal(rank);
							}
						}
					}

					expect(ranks.size).to.equal(0);
				}),
				{numRuns: 200, seed: 20_261_202},
			);
		});
	});
});
