import {expect} from 'chai';
import {createTargetCalls} from '../src/decisions/target-calls.js';

describe('the calls of a target', () => {
	it('are taken to be made until much was seen without one', () => {
		const calls = createTargetCalls();
		expect(calls.makesCalls()).to.equal(true);
		for (let run = 0; run < 100; run++) {
			calls.recordRun(0);
		}

		expect(calls.makesCalls()).to.equal(false);
		for (let call = 0; call < 10; call++) {
			calls.recordCall();
		}

		expect(calls.makesCalls()).to.equal(true);
	});

	it('pass on how much of the work is a repeat', () => {
		// Half of the work of a service in the middle was offered twice. Its calls
		// are repeats too; unless the service below is told so, it spends the whole
		// bound once more and gets more than it can bear.
		const calls = createTargetCalls();
		for (let run = 0; run < 400; run++) {
			calls.recordRun(run % 2);
		}

		expect(calls.repeatShare()).to.be.within(0.45, 0.55);
	});
});
