import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	CallbackDeadline,
	createDeadlineWheel,
	wheelTick,
} from '../src/timing/deadline-wheel.js';

describe('createDeadlineWheel', () => {
	const add = (
		wheel: ReturnType<typeof createDeadlineWheel>,
		at: number,
		onDeadline: (at: number) => void,
	) => {
		const deadline = new CallbackDeadline(() => {
			onDeadline(at);
		});
		wheel.add(at, deadline);
		return () => {
			wheel.remove(deadline);
		};
	};

	it('fires deadlines in order, at most a tick late', () => {
		const clock = createVirtualClock();
		const wheel = createDeadlineWheel(clock);
		const called: Array<{at: number; now: number}> = [];
		for (const at of [5000, 30, 700, 701, 900]) {
			add(wheel, at, () => {
				called.push({at, now: clock.now()});
			});
		}

		clock.advanceTo(6000);
		expect(called.map(({at}) => at)).to.deep.equal([30, 700, 701, 900, 5000]);
		for (const {at, now} of called) {
			expect(now - at).to.be.within(0, wheelTick);
		}
	});

	// Guards against a node on which no deadline fires any more because one of them threw.
	it('fires the other deadlines, of the same tick and of later ones, after one that throws', () => {
		const clock = createVirtualClock();
		const wheel = createDeadlineWheel(clock);
		const fired: number[] = [];
		add(wheel, 100, () => {
			throw new Error('one deadline');
		});
		for (const at of [100, 500]) {
			add(wheel, at, () => {
				fired.push(at);
			});
		}

		expect(() => {
			clock.advanceTo(200);
		}).to.throw('one deadline');
		add(wheel, 300, () => {
			fired.push(300);
		});
		clock.advanceTo(1000);
		expect(fired).to.deep.equal([100, 300, 500]);
	});

	it('does not fire a cancelled deadline', () => {
		const clock = createVirtualClock();
		const wheel = createDeadlineWheel(clock);
		let calls = 0;
		const remove = add(wheel, 100, () => {
			calls++;
		});
		remove();
		clock.advanceTo(1000);
		expect(calls).to.equal(0);
	});

	it('does not wake the process while no deadline is due', () => {
		// Some request is always pending. If each tick woke the process, a node with
		// little load would spend most of its processor time on wake-ups.
		const clock = createVirtualClock();
		let timers = 0;
		const wheel = createDeadlineWheel({
			...clock,
			setTimer(delay, callback) {
				timers++;
				return clock.setTimer(delay, callback);
			},
		});
		for (let request = 0; request < 100; request++) {
			const remove = add(wheel, clock.now() + 5000, () => undefined);
			clock.advanceTo(clock.now() + 50);
			remove();
		}

		expect(timers).to.be.below(10);
	});

	it('fires each deadline once after a pause of the process', () => {
		const clock = createVirtualClock();
		const wheel = createDeadlineWheel(clock);
		const called: number[] = [];
		for (const at of [100, 200, 5000]) {
			add(wheel, at, (deadline) => {
				called.push(deadline);
			});
		}

		clock.advanceTo(60_000);
		expect(called).to.deep.equal([100, 200, 5000]);
	});

	it('keeps the other deadlines of a tick when one of them is cancelled', () => {
		// Objects are linked to each other. If a cancelled one broke the list, the
		// requests after it would never time out, and their callers would wait forever.
		const clock = createVirtualClock();
		const wheel = createDeadlineWheel(clock);
		const called: number[] = [];
		const removals = [101, 102, 103, 104, 105].map((at) =>
			add(wheel, at, () => {
				called.push(at);
				removals[3]!();
			}),
		);
		removals[0]!();
		removals[2]!();
		removals[2]!();
		clock.advanceTo(1000);
		expect(called).to.deep.equal([102, 105]);
		removals[1]!();
	});
});
