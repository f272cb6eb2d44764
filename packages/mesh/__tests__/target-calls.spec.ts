import {expect} from 'chai';
import {createTargetCalls} from '../src/decisions/admission/target-calls.js';

describe('target calls', () => {
	it('are assumed until enough requests without calls are recorded', () => {
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

	it('report the ratio of the work that is repeated', () => {
		// Half of the work of a service in the middle was offered twice. Its calls
		// are repeats too; unless this is passed on, the service below spends the
		// whole bound again and is overloaded.
		const calls = createTargetCalls();
		for (let run = 0; run < 400; run++) {
			calls.recordRun(run % 2);
		}

		expect(calls.repeatShare()).to.be.within(0.45, 0.55);
	});
});
