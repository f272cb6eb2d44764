import {expect} from 'chai';
import {createTargetCalls} from '../src/decisions/admission/target-calls.js';

/** Calls per request that each route makes to `lookup`. */
const callsOf: Record<string, number> = {page: 8, plain: 0};
const createCalls = () => createTargetCalls((route) => callsOf[route] ?? 0);

describe('target calls', () => {
	it('are assumed until enough requests without calls are recorded', () => {
		const calls = createCalls();
		expect(calls.makesCalls()).to.equal(true);
		for (let run = 0; run < 100; run++) {
			calls.recordRun('plain', 0);
		}

		expect(calls.makesCalls()).to.equal(false);
		for (let call = 0; call < 10; call++) {
			calls.recordCall();
		}

		expect(calls.makesCalls()).to.equal(true);
	});

	describe('share of repeats', () => {
		it('is that of the runs in progress', () => {
			// Half of the work of a service in the middle was sent twice. Its calls
			// are repeats too; unless this is passed on, the service below spends the
			// whole bound again and is overloaded.
			const calls = createCalls();
			for (let run = 0; run < 400; run++) {
				calls.recordRun('page', run % 2);
			}

			expect(calls.repeatShare('lookup')).to.be.closeTo(0.5, 0.01);
		});

		it('counts runs by the calls that they make', () => {
			// Guards against repeats at the service below that nobody counts: requests
			// that make calls fail and are repeated, next to many that make none.
			const calls = createCalls();
			for (let run = 0; run < 10; run++) {
				calls.recordRun('page', run < 2 ? 1 : 0);
			}

			for (let run = 0; run < 90; run++) {
				calls.recordRun('plain', 0);
			}

			expect(calls.repeatShare('lookup')).to.be.closeTo(0.2, 0.01);
		});

		it('does not count an offer that was declined before its repeat', () => {
			// Guards against half of the repeats at the service below going uncounted:
			// a declined offer makes no calls.
			const calls = createCalls();
			calls.recordRun('page', 0);
			calls.recordRepeat('page', 0);
			expect(calls.repeatShare('lookup')).to.be.above(0.99);
			calls.recordEnd('page', 1);
			calls.recordRun('page', 0);
			expect(calls.repeatShare('lookup')).to.equal(0);
		});
	});
});
