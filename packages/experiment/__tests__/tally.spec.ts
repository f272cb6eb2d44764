import {expect} from 'chai';
import type {Attempt, UserRequest} from '../src/call.js';
import {operations} from '../src/index.js';
import {createTally} from '../src/tally.js';

function createRequest(operation = operations[0]!): UserRequest {
	return {operation, caller: 'somebody', sentAt: 0, deadline: 3000, work: 0};
}

function createAttempt(request: UserRequest, parent?: Attempt): Attempt {
	const {plan} = request.operation;
	return {
		call: {
			request,
			plan,
			service: parent ? 'below' : 'above',
			deadline: 1000,
			attempts: 3,
			chain: '1',
			...(parent ? {parent} : {}),
		},
		facts: {
			id: '1',
			service: 'above',
			requestClass: 'essential',
			caller: 'somebody',
			operation: plan.operation,
			deadline: 1000,
			attempts: 3,
			idempotent: false,
		},
		node: 'one',
		hasRun: false,
		reportedNotRun: false,
	};
}

describe('the checkers', () => {
	describe('of "not run"', () => {
		it('catch an attempt that runs after it was said not to', () => {
			// A target starts a queued request while its node refuses it because of a
			// queue timeout. The client receives that the payment did not run, pays
			// again, and pays twice.
			const tally = createTally(() => 0);
			const attempt = createAttempt(createRequest());
			tally.recordNotRun(attempt);
			expect(tally.notRunThatRan()).to.equal(0);
			tally.recordEffect(attempt);
			expect(tally.notRunThatRan()).to.equal(1);
		});

		it('catch an attempt whose deeper call had run', () => {
			// A service gives up after its downstream call has run, and reports that
			// nothing has run. The state of the downstream service contradicts it.
			const tally = createTally(() => 0);
			const request = createRequest();
			const above = createAttempt(request);
			tally.recordEffect(createAttempt(request, above));
			tally.recordNotRun(above);
			expect(tally.notRunThatRan()).to.equal(1);
		});

		it('accept a refusal of what never ran', () => {
			const tally = createTally(() => 0);
			const request = createRequest();
			tally.recordNotRun(createAttempt(request));
			tally.recordEffect(createAttempt(request));
			expect(tally.notRunThatRan()).to.equal(0);
		});
	});

	describe('of "at most once"', () => {
		it('catch two attempts of one booking that both run', () => {
			// A client sends its booking again after a timeout while the first attempt
			// is still running, so that the interviewer is booked twice.
			const tally = createTally(() => 0);
			const request = createRequest();
			tally.recordRequest(request);
			tally.recordEffect(createAttempt(request));
			expect(tally.ranTwice()).to.equal(0);
			tally.recordEffect(createAttempt(request));
			expect(tally.ranTwice()).to.equal(1);
		});

		it('leave a request alone that may be repeated', () => {
			const tally = createTally(() => 0);
			const request = createRequest(
				operations.find(({idempotent}) => idempotent),
			);
			tally.recordRequest(request);
			tally.recordEffect(createAttempt(request));
			tally.recordEffect(createAttempt(request));
			expect(tally.ranTwice()).to.equal(0);
		});
	});
});
