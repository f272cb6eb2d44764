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
	it('are read as they were written', () => {
		const clock = createVirtualClock();
		const noted = createLocalSuspects(clock);
		noted.record([suspect('a'), suspect('b', 3)]);
		noted.record([suspect('a', 2)]);
		expect(parseLocalSuspects(noted.serialize(), clock)).to.deep.equal([
			suspect('b', 3),
			suspect('a', 2),
		]);
	});

	it('are bounded, those in quarantine kept first, then the latest', () => {
		const clock = createVirtualClock();
		const noted = createLocalSuspects(clock);
		noted.record([suspect('deadly', 3)]);
		for (let index = 0; index < 1000; index++) {
			noted.record([suspect(`bystander-${index}`)]);
		}

		const read = parseLocalSuspects(noted.serialize(), clock)!;
		expect(read).to.have.length(128);
		expect(read).to.deep.include(suspect('deadly', 3));
		expect(read).to.deep.include(suspect('bystander-999'));
	});

	it('are restored at a restart, before those recorded since', () => {
		const clock = createVirtualClock();
		const noted = createLocalSuspects(clock);
		noted.record([suspect('a', 2)]);
		noted.restore([suspect('a'), suspect('b', 3)]);
		expect(parseLocalSuspects(noted.serialize(), clock)).to.deep.equal([
			suspect('a', 2),
			suspect('b', 3),
		]);
	});

	it('are dropped when their text is outdated', () => {
		const clock = createVirtualClock();
		const noted = createLocalSuspects(clock);
		noted.record([suspect('a', 3)]);
		const text = noted.serialize();
		clock.advanceTo(retentionPeriod + 1);
		expect(parseLocalSuspects(text, clock)).to.deep.equal([]);
	});

	// One malformed entry of a node took its quarantined requests with it.
	it('are read without those that are malformed', () => {
		const clock = createVirtualClock();
		let skipped = 0;
		const at = clock.date().getTime();
		const tuples = [
			['a', 0, 3],
			['b', 0, 1e300],
			['c', 0, 2_000_000_000],
			null,
			['d', 0, 1],
		];
		const read = parseLocalSuspects(
			JSON.stringify({at, suspects: tuples}),
			clock,
			() => {
				skipped++;
			},
		);
		expect(read).to.deep.equal([suspect('a', 3), suspect('d')]);
		expect(skipped).to.equal(1);
	});

	for (const text of [
		'rubbish',
		'{}',
		'{"at":0,"suspects":[["",0,1]]}',
		'{"at":0,"suspects":[["a",-1,1]]}',
	]) {
		it(`are not read from ${text}`, () => {
			expect(parseLocalSuspects(text, createVirtualClock())).to.equal(
				undefined,
			);
		});
	}
});
