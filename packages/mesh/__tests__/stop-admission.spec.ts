import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	retryAfterStop,
	timeLeftAtStop,
} from '../src/decisions/admission/stop-admission.js';
import {planStop, waitUntilIdle} from '../src/timing/graceful-shutdown.js';

const grace = 6000;

describe('a stopping node', () => {
	const schedule = planStop(0, grace);
	const newWork = {isCallOfRunningWork: false, timeLeft: 5000};
	const call = {isCallOfRunningWork: true, timeLeft: 700};

	describe('while it accepts requests', () => {
		it('accepts them until balancers have noticed two failed checks, a second apart', () => {
			expect(timeLeftAtStop(schedule, newWork, 2400)).to.be.above(0);
		});

		// Guards against work that is cut because its deadline lies behind the end of the node.
		it('bounds their deadlines by its own end', () => {
			for (let now = 0; now < grace; now += 100) {
				for (const request of [newWork, call]) {
					const timeLeft = timeLeftAtStop(schedule, request, now);
					expect(
						timeLeft === undefined || now + timeLeft < grace - 500,
					).to.equal(true);
				}
			}
		});

		it('leaves a shorter time of the caller as it is', () => {
			expect(timeLeftAtStop(schedule, call, 100)).to.equal(700);
		});
	});

	describe('afterwards', () => {
		// Guards against requests that are accepted long after SIGTERM and given up.
		it('refuses new requests', () => {
			expect(timeLeftAtStop(schedule, newWork, 2500)).to.equal(undefined);
			expect(timeLeftAtStop(schedule, newWork, 5400)).to.equal(undefined);
		});

		// Guards against accepted work that fails because its calls are refused.
		it('accepts calls of work that runs at its target', () => {
			expect(timeLeftAtStop(schedule, call, 4000)).to.equal(700);
		});

		// Guards against calls that are given up while their targets are at work.
		it('refuses calls that may last longer than the node', () => {
			const long = {...call, timeLeft: 2000};
			expect(timeLeftAtStop(schedule, long, 3000)).to.equal(2000);
			expect(timeLeftAtStop(schedule, long, 4000)).to.equal(undefined);
			expect(timeLeftAtStop(schedule, call, 5300)).to.equal(undefined);
		});

		it('refuses calls that have no time to complete', () => {
			expect(timeLeftAtStop(schedule, call, 5400)).to.equal(undefined);
		});

		// Guards against refused callers who return before the node has started again, all at once.
		it('asks callers to return after its restart, spread', () => {
			const times = [0, 0.5, 1].map((fraction) =>
				retryAfterStop(undefined, fraction),
			);
			expect(times).to.deep.equal([2000, 2250, 2500]);
		});

		it('asks no caller to wait for more than a third of its time', () => {
			expect(retryAfterStop(1200, 1)).to.equal(400);
		});
	});

	describe('with a short grace period', () => {
		it('leaves most of it to the accepted requests', () => {
			const {acceptUntil, targetAcceptsUntil, endAt} = planStop(0, 2000);
			expect(acceptUntil).to.equal(1000);
			expect(targetAcceptsUntil).to.be.below(acceptUntil);
			expect(endAt).to.equal(1500);
		});
	});

	describe('ends', () => {
		const endOf = async (isIdle: (now: number) => boolean): Promise<number> => {
			const clock = createVirtualClock();
			const start = clock.now();
			let end: number | undefined;
			const waiting = (async () => {
				await waitUntilIdle(clock, planStop(start, grace), () =>
					isIdle(clock.now() - start),
				);
				end = clock.now() - start;
			})();
			await clock.runTo(start + grace);
			await waiting;
			return end!;
		};

		it('not before callers had time to notice the stop', async () => {
			expect(await endOf(() => true)).to.equal(2500);
		});

		// Guards against a stop that lasts for the whole grace period under any load.
		it('when its last accepted request is answered', async () => {
			expect(await endOf((now) => now > 3100)).to.equal(3150);
		});

		it('before the end of the grace period in any case', async () => {
			expect(await endOf(() => false)).to.equal(5500);
		});

		// Guards against requests that are cut although their answers arrived while the process was stopped.
		it('after it has read what arrived while its process was stopped beyond the end', async () => {
			const clock = createVirtualClock();
			let stopped = 0;
			const wakingClock = {...clock, now: () => clock.now() + stopped};
			let isOver = false;
			const waiting = (async () => {
				await waitUntilIdle(wakingClock, planStop(0, grace), () => false);
				isOver = true;
			})();
			await clock.runTo(1010);
			stopped = 5000;
			await clock.runTo(1050);
			expect(isOver).to.equal(false);
			await clock.runTo(1100);
			expect(isOver).to.equal(true);
			await waiting;
		});
	});
});
