import {expect} from 'chai';
import type {Attempt, UserRequest} from '../src/call.js';
import {operations} from '../src/index.js';
import {createTally} from '../src/tally.js';

function createRequest(operation = operations[0]!): UserRequest {
	return {operation, caller: 'caller-1', sentAt: 0, deadline: 3000, work: 0};
}

function createAttempt(request: UserRequest, parent?: Attempt): Attempt {
	const {plan} = request.operation;
	return {
		call: {
			request,
			plan,
			service: parent ? 'downstream' : 'upstream',
			deadline: 1000,
			attempts: 3,
			chain: '1',
			...(parent ? {parent} : {}),
		},
		facts: {
			id: '1',
			service: 'upstream',
			requestClass: 'essential',
			caller: 'caller-1',
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

describe('the checks of the tally', () => {
	describe('for "not run"', () => {
		it('detect an attempt that runs after it was reported as not run', () => {
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

		it('detect an attempt whose downstream call had run', () => {
			// A service gives up after its downstream call has run, and reports that
			// nothing has run. The state of the downstream service contradicts it.
			const tally = createTally(() => 0);
			const request = createRequest();
			const upstream = createAttempt(request);
			tally.recordEffect(createAttempt(request, upstream));
			tally.recordNotRun(upstream);
			expect(tally.notRunThatRan()).to.equal(1);
		});

		it('accept a refusal of an attempt that never ran', () => {
			const tally = createTally(() => 0);
			const request = createRequest();
			tally.recordNotRun(createAttempt(request));
			tally.recordEffect(createAttempt(request));
			expect(tally.notRunThatRan()).to.equal(0);
		});
	});

	describe('for "at most once"', () => {
		it('detect two attempts of one booking that both run', () => {
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

		it('ignore idempotent requests', () => {
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
