import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {idleLoad, type TargetLoad} from '../src/links/exchange.js';
import {createLoadReport} from '../src/target/load-report.js';
import {createTicker} from '../src/timing/ticker.js';

describe('createLoadReport', () => {
	function reportsOf(loads: TargetLoad[], listeners = 10) {
		const clock = createVirtualClock();
		const life = new AbortController();
		const reported: TargetLoad[] = [];
		let current = idleLoad;
		const receivers = new Set(
			Array.from({length: listeners}, (_, index) => ({
				load: idleLoad,
				report(load: TargetLoad) {
					if (index === 0) {
						reported.push(load);
					}
				},
			})),
		);
		createLoadReport({
			clock,
			signal: life.signal,
			ticker: createTicker(clock, life.signal),
			load: () => current,
			receivers: () => receivers,
		}).start();
		for (const load of loads) {
			current = load;
			clock.advanceTo(clock.now() + 1000);
		}

		life.abort();
		return reported;
	}

	const withOccupancy = (occupancy: number) => ({...idleLoad, occupancy});

	it('reports when a target fills up, and when it has room again', () => {
		const reported = reportsOf([withOccupancy(0.9), withOccupancy(0.3)]);
		expect(reported.map(({occupancy}) => occupancy)).to.deep.equal([0.9, 0.3]);
	});

	it('reports nothing while a target has room', () => {
		// With few slots, the occupancy of a target changes between none and a third
		// with each request or two. Broadcast to all nodes, such reports would be
		// most of the messages they read.
		expect(
			reportsOf([0.1, 0.4, 0.1, 0.4, 0.1].map((share) => withOccupancy(share))),
		).to.have.length(0);
	});

	it('reports shed levels even while the target has room', () => {
		expect(reportsOf([{...idleLoad, shedLevel: 0.5}])).to.have.length(1);
	});

	it('reports less often the more nodes receive the reports', () => {
		const loads = Array.from({length: 20}, (_, index) =>
			withOccupancy(index % 2 === 0 ? 1.5 : 0.6),
		);
		expect(reportsOf(loads, 10).length).to.be.above(
			reportsOf(loads, 200).length,
		);
	});

	it('corrects a load that a node learnt from an outcome, but repeats none', () => {
		// An outcome that carries a short peak is the last message to its node for
		// a while. Without a correction, the node would avoid the target, or shed
		// requests for it, until the next outcome.
		const clock = createVirtualClock();
		const {signal} = new AbortController();
		const sent: string[] = [];
		const createReceiver = (name: string, load: TargetLoad) => ({
			load,
			report({shedLevel}: TargetLoad) {
				sent.push(`${name} ${shedLevel}`);
			},
		});
		const receivers = new Set([
			createReceiver('without outcome', idleLoad),
			createReceiver('after a peak', {...idleLoad, shedLevel: 0.8}),
		]);
		createLoadReport({
			clock,
			signal,
			ticker: createTicker(clock, signal),
			load: () => idleLoad,
			receivers: () => receivers,
		}).start();
		clock.advanceTo(1000);
		expect(sent).to.deep.equal(['after a peak 0']);
	});
});
