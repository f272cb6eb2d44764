import {expect} from 'chai';
import {
	capacityOf,
	computeLimit,
	deployments,
	holdingTime,
	longOperation,
	operations,
	scenarios,
	warmUpFactor,
	type Operation,
	type Scenario,
	type UserArrival,
} from '../src/index.js';

/** User arrivals at a constant rate per second during the trigger. */
function arrivalsAt(
	scenario: Scenario,
	rate: number,
	operation: Operation,
): UserArrival[] {
	const count = (rate * scenario.triggerDuration) / 1000;
	return Array.from({length: count}, (_, index) => ({
		at: scenario.baselineDuration + (index * 1000) / rate,
		operation,
	}));
}

describe('computeLimit', () => {
	const {akwaaba, fieldline} = deployments;
	const short = operations[0]!;

	it('has slots divided by service time as capacity: 90 and 60 slots of 100 ms', () => {
		expect(capacityOf(akwaaba)).to.equal(900);
		expect(capacityOf(fieldline)).to.equal(600);
	});

	it('returns the capacity if demand exceeds it', () => {
		const scenario = scenarios.saturation;
		const userArrivals = arrivalsAt(scenario, 1800, short);
		expect(computeLimit(akwaaba, scenario, userArrivals)).to.be.closeTo(900, 1);
		expect(computeLimit(fieldline, scenario, userArrivals)).to.be.closeTo(
			600,
			1,
		);
	});

	it('returns the demand if capacity exceeds it', () => {
		const scenario = scenarios.light;
		const userArrivals = arrivalsAt(scenario, 250, short);
		expect(computeLimit(akwaaba, scenario, userArrivals)).to.be.closeTo(250, 1);
	});

	it('returns a third of the capacity if all targets of the deepest service take three times as long', () => {
		const scenario = scenarios['deep-slowdown'];
		const userArrivals = arrivalsAt(scenario, 800, short);
		expect(computeLimit(akwaaba, scenario, userArrivals)).to.be.closeTo(300, 1);
	});

	it('serves short operations first: 450 of 900 leave 45 slots, and 45 / 0.8 s is 56.25 long ones', () => {
		const scenario = scenarios['long-among-short'];
		const userArrivals = [
			...arrivalsAt(scenario, 450, short),
			...arrivalsAt(scenario, 100, longOperation),
		];
		expect(computeLimit(akwaaba, scenario, userArrivals)).to.be.closeTo(
			506.25,
			1,
		);
	});

	it('includes the remaining capacity of one slow target of three: 2 * 300 + 30', () => {
		const scenario = scenarios['slow-target'];
		const userArrivals = arrivalsAt(scenario, 1800, short);
		expect(computeLimit(akwaaba, scenario, userArrivals)).to.be.closeTo(630, 1);
	});

	it('counts a slot as held during the downstream calls', () => {
		expect(holdingTime(short.plan, 'deep', 3)).to.equal(300);
		expect(holdingTime(short.plan, 'middle', 1)).to.equal(112);
		expect(holdingTime(short.plan, 'front', 1)).to.equal(118);
	});

	it('reduces the factor of a cold target with the requests it has run', () => {
		expect([0, 150, 300, 900].map((run) => warmUpFactor(run))).to.deep.equal([
			8, 4.5, 1, 1,
		]);
	});
});
