import {expect} from 'chai';
import {createIsolatedTurns} from '../src/isolated-turns.js';

const never = new AbortController().signal;

describe('the turns of calls that may crash their target', () => {
	it('are granted one at a time', async () => {
		const turns = createIsolatedTurns();
		const first = await turns.enter(never);
		const order: string[] = [];
		const second = (async () => {
			const turn = await turns.enter(never);
			order.push('second');
			turn?.leave();
		})();
		order.push('first');
		first?.leave();
		await second;
		expect(order).to.deep.equal(['first', 'second']);
		expect(await turns.enter(never)).not.to.equal(undefined);
	});

	it('are not granted to callers that have gone', async () => {
		const turns = createIsolatedTurns();
		const first = await turns.enter(never);
		const caller = new AbortController();
		const waiting = turns.enter(caller.signal);
		caller.abort();
		expect(await waiting).to.equal(undefined);
		first?.leave();
		expect(await turns.enter(never)).not.to.equal(undefined);
	});
});
