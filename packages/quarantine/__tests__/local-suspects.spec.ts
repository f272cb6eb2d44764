import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {
	createLocalSuspects,
	retentionPeriod,
	parseLocalSuspects,
	type Suspect,
} from '../src/index.js';

const suspect = (identity: string, crashes = 1): Suspect => ({
	identity,
	round: 0,
	crashes,
});

describe('the suspects that a node stores', () => {
	it('are parsed as they were serialized', () => {
		const clock = createVirtualClock();
		const suspects = createLocalSuspects(clock);
		suspects.record([suspect('a'), suspect('b', 3)]);
		suspects.record([suspect('a', 2)]);
		expect(parseLocalSuspects(suspects.serialize(), clock)).to.deep.equal([
			suspect('b', 3),
			suspect('a', 2),
		]);
	});

	it('are bounded; those in quarantine are retained first, then the latest', () => {
		const clock = createVirtualClock();
		const suspects = createLocalSuspects(clock);
		suspects.record([suspect('deadly', 3)]);
		for (let index = 0; index < 1000; index++) {
			suspects.record([suspect(`bystander-${index}`)]);
		}

		const parsed = parseLocalSuspects(suspects.serialize(), clock)!;
		expect(parsed).to.have.length(128);
		expect(parsed).to.deep.include(suspect('deadly', 3));
		expect(parsed).to.deep.include(suspect('bystander-999'));
	});

	it('are restored at a restart, before those recorded since', () => {
		const clock = createVirtualClock();
		const suspects = createLocalSuspects(clock);
		suspects.record([suspect('a', 2)]);
		suspects.restore([suspect('a'), suspect('b', 3)]);
		expect(parseLocalSuspects(suspects.serialize(), clock)).to.deep.equal([
			suspect('a', 2),
			suspect('b', 3),
		]);
	});

	it('are dropped when their text is outdated', () => {
		const clock = createVirtualClock();
		const suspects = createLocalSuspects(clock);
		suspects.record([suspect('a', 3)]);
		const text = suspects.serialize();
		clock.advanceTo(retentionPeriod + 1);
		expect(parseLocalSuspects(text, clock)).to.deep.equal([]);
	});

	for (const text of [
		'not JSON',
		'{}',
		'{"at":0,"suspects":[["",0,1]]}',
		'{"at":0,"suspects":[["a",-1,1]]}',
	]) {
		it(`are not parsed from ${text}`, () => {
			expect(parseLocalSuspects(text, createVirtualClock())).to.equal(
				undefined,
			);
		});
	}
});
