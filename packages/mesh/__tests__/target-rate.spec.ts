import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {RateLimitNotice} from '../src/target/target-notice.js';
import {createTargetRate} from '../src/target/target-rate.js';

describe('the rate limit of the local target', () => {
	function createRate() {
		const clock = createVirtualClock();
		const lines: Array<Record<string, unknown>> = [];
		const rate = createTargetRate({
			clock,
			reporter: {
				notice(name, details) {
					lines.push({name, ...details});
				},
			},
		});
		let ordinal = 0;
		rate.reset('target-1');
		const apply = (rateLimit: RateLimitNotice) => {
			rate.apply({rateLimit, isLeaving: false}, ++ordinal);
		};

		return {clock, lines, rate, apply};
	}

	it('is logged when it is known, changed and ended, with the previous value and its age', () => {
		const {clock, lines, apply} = createRate();
		clock.advanceTo(clock.now() + 2000);
		apply({kind: 'limited', perSecond: 11.6});
		clock.advanceTo(clock.now() + 3000);
		apply({kind: 'limited', perSecond: 5});
		clock.advanceTo(clock.now() + 4000);
		apply({kind: 'unlimited'});
		expect(
			lines.map(({change, limit, previous, previousAge}) => [
				change,
				limit,
				previous,
				previousAge,
			]),
		).to.deep.equal([
			['known', '11.6', 'none', 2000],
			['changed', '5', '11.6', 3000],
			['ended', 'none', '5', 4000],
		]);
	});

	// Guards against log lines without bound when a target changes its limit with each answer.
	it('is logged at most once a second', () => {
		const {clock, lines, apply} = createRate();
		for (let answer = 0; answer < 300; answer++) {
			apply(
				answer % 3 === 0
					? {kind: 'malformed', text: 'x'.repeat(1000)}
					: {kind: 'limited', perSecond: answer},
			);
			clock.advanceTo(clock.now() + 10);
		}

		expect(lines.length).to.be.within(6, 8);
		expect(JSON.stringify(lines).length).to.be.below(2000);
	});

	it('does not hold for the next target', () => {
		const {rate, apply} = createRate();
		apply({kind: 'limited', perSecond: 2});
		rate.reset('target-2');
		expect(rate.limit()).to.equal(undefined);
	});
});
