import {expect} from 'chai';
import {ErrorCode} from '@egretspoke/protocol';
import {createRandom} from '@egretspoke/shared';
import type {CallFacts, RoutingCandidate} from '@egretspoke/decisions';
import {naivePolicy, naiveMaxAttempts} from '../src/index.js';

const call: CallFacts = {
	id: '1',
	service: 'orders',
	requestClass: 'deferrable',
	caller: 'somebody',
	operation: 'GET /orders',
	deadline: 0,
	attempts: naiveMaxAttempts,
	idempotent: false,
};

const context = {dataCentre: 'a', random: createRandom(1)};

const candidate = (
	node: string,
	state: RoutingCandidate['state'] = 'active',
): RoutingCandidate => ({
	node,
	dataCentre: 'a',
	slots: 1,
	connections: 1,
	since: 0,
	state,
});

describe('the naive policy', () => {
	describe('routing', () => {
		it('selects candidates in round robin and skips those that leave', () => {
			const routing = naivePolicy.createRouting(context);
			routing.candidatesChanged(
				'orders',
				[candidate('one'), candidate('gone', 'leaving'), candidate('two')],
				0,
			);
			const chosen = Array.from({length: 4}, () =>
				routing.choose(call, ['one'], 0),
			);
			expect(
				chosen.map((decision) => decision.kind === 'send' && decision.node),
			).to.deep.equal(['one', 'two', 'one', 'two']);
		});

		it('refuses without candidates', () => {
			const routing = naivePolicy.createRouting(context);
			expect(routing.choose(call, [], 0)).to.include({
				kind: 'refuse',
				code: ErrorCode.NoTarget,
			});
		});

		it('attempts three times after any failure and grants the layer below three attempts', () => {
			const routing = naivePolicy.createRouting(context);
			const result = {node: 'one', duration: 1, result: 'unknown'} as const;
			const kinds = [3, 2, 1].map(
				(attempts) => routing.retry({...call, attempts}, result, 0).kind,
			);
			expect(kinds).to.deep.equal(['retry', 'retry', 'refuse']);
			expect(routing.downstreamAttempts({...call, attempts: 1})).to.equal(3);
		});
	});

	describe('admission', () => {
		it('admits requests beyond the slots and after their deadline', () => {
			const admission = naivePolicy.createAdmission({
				...context,
				service: 'orders',
				slots: 1,
			});
			const decisions = [1, 2].map(() => admission.arrive(call, 5).kind);
			expect(decisions).to.deep.equal(['dispatch', 'dispatch']);
			expect(admission.report(5).inFlight).to.equal(2);
		});
	});
});
