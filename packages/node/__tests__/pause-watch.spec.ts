import {expect} from 'chai';
import {createVirtualClock, type Clock} from '@egretspoke/shared';
import {createPauseWatch} from '../src/pause-watch.js';

describe('pause watch', () => {
	it('reports no age in normal operation', () => {
		const clock = createVirtualClock();
		const watch = createPauseWatch(clock, new AbortController().signal);
		clock.advanceTo(5020);
		expect(watch.maxMessageAge()).to.equal(0);
	});

	describe('of a process that was frozen', () => {
		// A VM is paused for two seconds with requests in its sockets. After the
		// pause either its timers or its sockets are served first; the requests are
		// as old as the pause in both cases.
		const create = () => {
			const real = createVirtualClock();
			let offset = 0;
			const clock: Clock = {...real, now: () => real.now() + offset};
			const watch = createPauseWatch(clock, new AbortController().signal);
			real.advanceTo(1000);
			offset = 2000;
			return {real, watch};
		};

		it('reports the age when the sockets are read first', () => {
			const {watch} = create();
			expect(watch.maxMessageAge()).to.equal(2000);
		});

		it('reports the age when the timers fire first', () => {
			const {real, watch} = create();
			real.advanceTo(1050);
			expect(watch.maxMessageAge()).to.equal(2050);
		});

		it('reports no age after the next tick', () => {
			const {real, watch} = create();
			real.advanceTo(1100);
			expect(watch.maxMessageAge()).to.equal(0);
		});
	});
});
