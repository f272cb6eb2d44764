/**
 * Calculates the shed level of a target: the ratio of its service's load that
 * the entry nodes should refuse.
 *
 * Load pattern: demand that stays above the capacity of a target or of a
 * service that it calls. Calls refused by the deep service waste the work done
 * above it. So it refuses hardly any: its level travels up the call graph with
 * the answers, and entry nodes refuse requests, the least important first.
 */

/**
 * The level of one target: the ratio of the load, from 0 to 1, to refuse before
 * any work is done. If the deep service refused calls instead, a request that
 * makes ten calls, a third of which are refused, would almost never succeed,
 * and the goodput would fall to zero while every slot is busy.
 */
export type ShedLevel = {
	/** Called once per period while requests wait or the level is not 0. */
	update(pressure: Pressure): void;
	value(): number;
	/** The estimated demand without refusals, as a multiple of the target's capacity. */
	demand(): number;
};

/** The current load of a target. */
export type Pressure = {
	/** The expected wait of a new request, in milliseconds. */
	wait: number;
	/** Running requests, divided by what the target may run at once. */
	occupancy: number;
	/** Arrivals since the last update without the declined ones, divided by what the target can run in that time. */
	arriving: number;
	/** The ratio of offers to the target that it declined or lost. */
	declined: number;
	/** The ratio of requests that ended without a repeat that they needed. */
	unserved: number;
};

/** Milliseconds between two updates: a few answers of the fastest services. */
export const shedPeriod = 100;
/** The maximum level: without any arrivals the demand couldn't be estimated. */
const maxLevel = 0.95;
/** The minimum level; lower values count as 0. */
const minLevel = 0.01;

/**
 * The load that is admitted, as a multiple of the target's capacity: while
 * requests wait, while none waits, and while slots are free. In a steady state a
 * few requests wait and no slot is idle; a demand that is estimated too high
 * causes refusals only for a short time.
 */
const usedCapacity = 1.02;
const idleCapacity = 1.15;
const spareCapacity = 1.5;
/** The occupancy below which a target has free slots. */
const spareOccupancy = 0.8;
/**
 * The wait in a steady state, in milliseconds: short compared with the tightest
 * objective of a caller (100 ms), long compared with scheduling noise.
 */
const targetWait = 15;
/** The further wait, in milliseconds, for which the admitted load is reduced by the whole capacity. */
const waitPerCapacity = 300;
/** The maximum fraction of the capacity that is withheld because of the wait. */
const maxWithheld = 0.3;

/** Periods until the first effect of a level is measured here. */
const delayPeriods = 3;
/** The fraction of the admitted requests that arrives with each further period. */
const arrivalWeight = 0.2;
/** The weight of one period in the moving averages of the arrivals and of the admitted ratio. */
const filterWeight = 0.2;
/** The fraction of the difference to its new value that the level changes in one period. */
const stepWeight = 0.5;
/** The minimum admitted ratio for which the demand is estimated. */
const minAdmitted = 0.05;

/** The tolerated ratio of requests that end declined; a request succeeds only if none of its calls is among them. */
export const maxUnserved = 0.05;
/** The rise per period when all requests end unserved; near the tolerated ratio, the rise is as slow as the fall. */
const unservedRise = 0.15;
/** The fall per period while the target still declines many requests, and once it is healthy. */
const fallWhileUnhealthy = 0.007;
const fallWhenHealthy = 0.05;
/** The maximum level because of unserved requests. */
const maxUnservedLevel = 0.9;
/** The ratio of declined offers from which a target counts as unhealthy. */
const unhealthyDeclined = 0.1;

/**
 * Creates a level of 0. The effect of a level is delayed, because a request
 * makes its calls over its whole duration. A controller that raises its level
 * while requests wait would overshoot in both directions for as long as the
 * overload lasts. So the level is the ratio of the estimated demand that
 * exceeds the capacity; the wait only corrects it.
 */
export function createShedLevel(): ShedLevel {
	const demand = createDemandEstimate();
	let byDemand = 0;
	let byUnserved = 0;
	const value = () => Math.max(byDemand, byUnserved);
	return {
		update(pressure) {
			const excess =
				1 - capacityAt(pressure) / demand.update(pressure.arriving, value());
			const nextLevel = Math.min(maxLevel, Math.max(0, excess));
			byDemand = dropBelowMin(byDemand + stepWeight * (nextLevel - byDemand));
			byUnserved = updateByUnserved(byUnserved, pressure);
		},
		value,
		demand: demand.value,
	};
}

/** The load that may be admitted, as a multiple of the target's capacity. */
function capacityAt({wait, occupancy}: Pressure): number {
	if (wait === 0) {
		return occupancy < spareOccupancy ? spareCapacity : idleCapacity;
	}

	const excess = Math.max(0, wait - targetWait) / waitPerCapacity;
	return usedCapacity - Math.min(maxWithheld, excess);
}

function dropBelowMin(level: number): number {
	return level < minLevel ? 0 : level;
}

/**
 * Raises the level while the target declines requests although none waits and
 * slots are free. Requests that can't be offered again within the bound on
 * repeats end declined, and with them the whole request that they belong to. So
 * the level rises until the repeats suffice for the admitted requests: some
 * requests succeed, and the others are refused before they run; otherwise a
 * part of every request would fail.
 */
function updateByUnserved(
	level: number,
	{declined, unserved}: Pressure,
): number {
	if (unserved > maxUnserved) {
		return Math.min(
			maxUnservedLevel,
			level + unservedRise * (unserved - maxUnserved),
		);
	}

	return dropBelowMin(
		level -
			(declined < unhealthyDeclined ? fallWhenHealthy : fallWhileUnhealthy),
	);
}

/**
 * The demand without refusals, as a multiple of the target's capacity:
 * estimated from the arrivals and the ratio that was admitted when they were
 * sent.
 */
type DemandEstimate = {
	/** Records the arrivals of a period and the level that is reported from now on; returns the estimate. */
	update(arriving: number, level: number): number;
	value(): number;
};

/**
 * Numerator and denominator pass the same filters, so that a change of the
 * admitted ratio is not mistaken for a change of the demand.
 */
function createDemandEstimate(): DemandEstimate {
	/** The admitted ratios of the last periods, oldest first. */
	const admitted: number[] = Array.from({length: delayPeriods}, () => 1);
	let inTransit = 1;
	let filteredAdmitted = 1;
	let filteredArriving = 0;
	const value = () =>
		filteredArriving / Math.max(minAdmitted, filteredAdmitted);
	return {
		value,
		update(arriving, level) {
			admitted.push(1 - level);
			inTransit += arrivalWeight * (admitted.shift()! - inTransit);
			filteredAdmitted += filterWeight * (inTransit - filteredAdmitted);
			filteredArriving += filterWeight * (arriving - filteredArriving);
			return value();
		},
	};
}
