/**
 * How much of a service's load its targets' nodes ask the entries to refuse.
 *
 * Load pattern: demand above capacity that lasts, at the target or at a
 * service that it calls. Refused at the deep service, each call wastes all
 * the work that was done above it: a request that makes ten calls, a third of
 * which are refused, is almost never whole, so the goodput falls to nothing
 * while every slot is busy. So the deep service refuses hardly anything: its
 * level rises, travels up the call graph with the answers, and the entries
 * refuse requests before their first work is done, the least important first.
 *
 * What the entries let in arrives here late: a request makes its calls over its
 * whole life. A controller that adds to its level for as long as work waits
 * goes on adding after enough has been refused, then takes back too much, and
 * the level swings between too little and too much for as long as the overload
 * lasts. So the node estimates the demand that there would be if nothing were
 * refused, from what arrives and what was let in when that was sent, and the
 * level is what of this demand doesn't fit. A wait only corrects it.
 *
 * A target may also turn away work while nothing waits and slots are free.
 * What can't be offered again within the bound on repeats ends declined, and
 * with it the whole request that it belongs to. The level then rises as well,
 * until the repeats suffice for what is still let in: some requests are whole
 * then, and the others are told at once that they have not run, where
 * otherwise a part of each fails.
 */

/** The level of one target: the share of the load, from 0 to 1, that is to be refused. */
export type ShedLevel = {
	/** To be called in each period while something waits or the level is not 0. */
	update(pressure: Pressure): void;
	value(): number;
};

/** How a target is pressed now. */
export type Pressure = {
	/** Milliseconds that a new request would wait. */
	wait: number;
	/** What the target runs, over what it may run at once. */
	occupancy: number;
	/** What arrived since the last update and was not declined, over what the target can run in that time. */
	arriving: number;
	/** The share of the offers to it that it declined or lost. */
	declined: number;
	/** The share of requests that ended without the repeat that they needed. */
	unserved: number;
};

/** Milliseconds between two updates; a few answers of the fastest services. */
export const shedPeriod = 100;
/** The most that is asked to be refused: without any arrivals nothing could be learnt. */
const mostLevel = 0.95;
/** The level below which nothing is refused. */
const leastLevel = 0.01;

/**
 * What is let in, over what a target can run: while something waits, while
 * nothing does, and while slots are free. In a steady state a little waits and
 * no slot is idle, and what is estimated too high refuses nobody for long.
 */
const usedCapacity = 1.02;
const idleCapacity = 1.15;
const roomyCapacity = 1.5;
/** The occupancy below which a target has slots to spare. */
const roomyOccupancy = 0.8;
/**
 * Milliseconds that work may wait in a steady state: small against the
 * tightest objective of a caller (100 ms), long against scheduling noise.
 */
const targetWait = 15;
/** Milliseconds of further wait for which a whole capacity less is let in. */
const waitOfCapacity = 300;
/** The most of the capacity that is withheld until the wait is over. */
const mostWithheld = 0.3;

/** Periods until the first effect of a level is seen here. */
const delayPeriods = 3;
/** The part of what was let in that arrives with each further period. */
const arrivalWeight = 0.2;
/** The weight of one period in what arrives and in what it is compared with. */
const filterWeight = 0.2;
/** The part of the way to its new value that the level goes in one period. */
const stepWeight = 0.5;
/** The least share let in that an estimate of the demand is made from. */
const leastAdmitted = 0.05;

/** The share of requests that may end declined; a request is whole only if none of its calls is among them. */
export const maxUnserved = 0.05;
/** Rise in one period when all requests end unserved; it is as slow as the sinking near the share that may. */
const riseOfUnserved = 0.15;
/** Sinking in one period while the target still declines much, and when it is well. */
const fallWhileIll = 0.007;
const fallWhenWell = 0.05;
/** The most that is refused for requests that end unserved. */
const mostForUnserved = 0.9;
/** The share of offers that a target declines while it is ill. */
const illDeclined = 0.1;

/** Creates a level of 0. */
export function createShedLevel(): ShedLevel {
	const demand = createDemandEstimate();
	let byDemand = 0;
	let byUnserved = 0;
	const value = () => Math.max(byDemand, byUnserved);
	return {
		update(pressure) {
			const excess =
				1 - capacityAt(pressure) / demand.update(pressure.arriving, value());
			const aim = Math.min(mostLevel, Math.max(0, excess));
			byDemand = dropLeast(byDemand + stepWeight * (aim - byDemand));
			byUnserved = followUnserved(byUnserved, pressure);
		},
		value,
	};
}

/** What may be let in, over what the target can run. */
function capacityAt({wait, occupancy}: Pressure): number {
	if (wait === 0) {
		return occupancy < roomyOccupancy ? roomyCapacity : idleCapacity;
	}

	const excess = Math.max(0, wait - targetWait) / waitOfCapacity;
	return usedCapacity - Math.min(mostWithheld, excess);
}

function dropLeast(level: number): number {
	return level < leastLevel ? 0 : level;
}

function followUnserved(level: number, {declined, unserved}: Pressure): number {
	if (unserved > maxUnserved) {
		return Math.min(
			mostForUnserved,
			level + riseOfUnserved * (unserved - maxUnserved),
		);
	}

	return dropLeast(
		level - (declined < illDeclined ? fallWhenWell : fallWhileIll),
	);
}

/** The demand that there would be if nothing were refused, over what the target can run. */
type DemandEstimate = {
	/** Takes what arrived in a period and the level that is told from now on. */
	update(arriving: number, level: number): number;
};

/**
 * Both sides of the quotient pass the same filters, so that a change of what
 * is let in is not taken for a change of the demand.
 */
function createDemandEstimate(): DemandEstimate {
	/** The shares let in of the last periods, oldest first. */
	const admitted: number[] = Array.from({length: delayPeriods}, () => 1);
	let underWay = 1;
	let seenAdmitted = 1;
	let seenArriving = 0;
	return {
		update(arriving, level) {
			admitted.push(1 - level);
			underWay += arrivalWeight * (admitted.shift()! - underWay);
			seenAdmitted += filterWeight * (underWay - seenAdmitted);
			seenArriving += filterWeight * (arriving - seenArriving);
			return seenArriving / Math.max(leastAdmitted, seenAdmitted);
		},
	};
}
