import {expect} from 'chai';
import {createSystemClock, sleep} from '../src/clock.js';

describe('the clock of the system', () => {
	// Guards against a wait of a peer's odd number of milliseconds that ends at once.
	it('does not end a wait beyond the range of timers', async () => {
		const clock = createSystemClock({keepAlive: true});
		const stop = new AbortController();
		let hasEnded = false;
		const waiting = async () => {
			await sleep(clock, 1e300, stop.signal);
			hasEnded = true;
		};

		const wait = waiting();
		await sleep(clock, 20);
		expect(hasEnded).to.equal(false);
		stop.abort();
		await wait;
	});
});
