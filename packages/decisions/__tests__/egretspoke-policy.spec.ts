import {expect} from 'chai';
import {createRandom} from '@egretspoke/shared';
import {egretspokePolicy, type CallFacts} from '../src/index.js';

const call = (id: string, changes: Partial<CallFacts> = {}): CallFacts => ({
	id,
	service: 'orders',
	requestClass: 'normal',
	caller: 'loft-1',
	operation: 'POST /orders',
	deadline: 1000,
	attempts: 3,
	idempotent: true,
	...changes,
});

describe('egretspoke policy', () => {
	it('dispatches essential work before the normal work that came first', () => {
		const admission = egretspokePolicy.createAdmission({
			service: 'orders',
			slots: 1,
			dataCentre: 'a',
			random: createRandom(1),
		});
		expect(admission.arrive(call('running'), 0).kind).to.equal('dispatch');
		expect(admission.arrive(call('normal'), 1).kind).to.equal('wait');
		const essential = call('essential', {requestClass: 'essential'});
		expect(admission.arrive(essential, 2).kind).to.equal('wait');
		admission.finish('running', {duration: 5, result: 'ok'}, 5);
		expect(admission.turns(5).map(({id}) => id)).to.deep.equal(['essential']);
	});

	it('sends to a candidate that takes work', () => {
		const routing = egretspokePolicy.createRouting({
			dataCentre: 'a',
			random: createRandom(1),
		});
		const candidate = {dataCentre: 'a', slots: 4, connections: 8, since: 0};
		routing.candidatesChanged(
			'orders',
			[
				{...candidate, node: 'one', state: 'leaving'},
				{...candidate, node: 'two', state: 'active'},
			],
			0,
		);
		const decision = routing.choose(call('1'), [], 0);
		expect(decision).to.include({kind: 'send', node: 'two'});
	});
});
