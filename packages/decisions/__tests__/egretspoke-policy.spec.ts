import {expect} from 'chai';
import {createRandom} from '@egretspoke/shared';
import {egretspokePolicy} from '../src/index.js';
import {createCall} from './fixtures.js';

describe('egretspoke policy', () => {
	it('dispatches an essential request before an earlier normal one', () => {
		const admission = egretspokePolicy.createAdmission({
			service: 'orders',
			slots: 1,
			dataCentre: 'a',
			random: createRandom(1),
		});
		expect(admission.arrive(createCall('running'), 0).kind).to.equal(
			'dispatch',
		);
		expect(admission.arrive(createCall('normal'), 1).kind).to.equal('wait');
		const essential = createCall('essential', {requestClass: 'essential'});
		expect(admission.arrive(essential, 2).kind).to.equal('wait');
		admission.finish('running', {duration: 5, result: 'ok'}, 5);
		expect(admission.processQueue(5).map(({id}) => id)).to.deep.equal([
			'essential',
		]);
	});

	it('sends to an active candidate', () => {
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
		const decision = routing.choose(createCall('1'), [], 0);
		expect(decision).to.include({kind: 'send', node: 'two'});
	});
});
