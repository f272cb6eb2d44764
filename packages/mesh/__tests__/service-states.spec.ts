import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {createServiceStates} from '../src/entry/service-states.js';
import type {LinkedTarget} from '../src/links/peer.js';
import {idleLoad} from '../src/links/exchange.js';

describe('service states', () => {
	it('log the beginning and the end of a trouble once, and count a lost link at once', () => {
		// The link to one of two targets breaks, and its node reports nothing more.
		// Without a line, operators see refusals of a healthy service without a cause.
		const clock = createVirtualClock();
		const lines: string[] = [];
		const target = (node: string): LinkedTarget => ({
			...idleLoad,
			node,
			service: 'deep',
			slots: 10,
			occupancy: 1,
			demand: 0.9,
			isUsable: true,
		});
		let targets = [target('one'), target('two')];
		const states = createServiceStates({
			clock,
			policy: egretspokePolicy,
			directory: {
				targets: () => targets,
				membersOf: () => 2,
				shedLevels: () => new Map([['deep', 0]]),
			},
			dispatcher: {load: () => idleLoad, target: () => []},
			reporter: {
				notice(name, details) {
					lines.push(`${name} ${String(details?.change)}`);
				},
			},
		});
		expect(states.levels().get('deep')).to.equal(0);
		targets = [
			target('one'),
			{...target('two'), ...idleLoad, slots: 0, isUsable: false},
		];
		for (let at = 100; at <= 2000; at += 100) {
			clock.advanceTo(at);
			expect(states.levels().get('deep')).to.be.closeTo(1 - 10.2 / 18, 1e-9);
		}

		expect(states.readings().lostCapacityLevel).to.be.above(0.4);
		targets = [target('one'), target('two')];
		for (let at = 2100; at <= 4000; at += 100) {
			clock.advanceTo(at);
			expect(states.levels().get('deep')).to.equal(0);
		}

		expect(lines).to.deep.equal([
			'meshServiceLostTargets began',
			'meshServiceLostTargets ended',
		]);
	});
});
