/** The load of a target as a list of numbers. */
import type {RateLoad, TargetLoad} from './exchange.js';

/** Ratios are sent as whole thousandths, because a floating-point number takes nine bytes. */
export const ratioScale = 1000;

/**
 * Ratios in thousandths, the run time in milliseconds, and the rate limit in
 * requests per second with its occupancy in thousandths. The last four are
 * sent only while a rate is known, which is from the first answer on: a node of
 * an earlier version would take any placeholder for a rate limit.
 */
export type LoadNumbers = [
	occupancy: number,
	shedLevel: number,
	failureShare: number,
	runTime: number,
	rateLimit?: number,
	rateOccupancy?: number,
	declined?: number,
	declineLevel?: number,
	demand?: number,
	heldLevel?: number,
];

/** The numbers that each load has. */
const minLoadLength = 4;

/** Stands for an infinite rate limit, which takes nine bytes as a number. */
const unlimited = -1;

export function toNumbers(load: TargetLoad): LoadNumbers {
	const numbers: LoadNumbers = [
		Math.round(load.occupancy * ratioScale),
		Math.round(load.shedLevel * ratioScale),
		Math.round(load.failureShare * ratioScale),
		Math.round(load.runTime),
	];
	if (load.rate) {
		numbers.push(...toRateNumbers(load.rate), ...toDemandNumbers(load));
	}

	return numbers;
}

function toRateNumbers(rate: RateLoad): [number, number] {
	return rate.limit === Number.POSITIVE_INFINITY
		? [unlimited, 0]
		: [rate.limit, Math.round(rate.occupancy * ratioScale)];
}

function toDemandNumbers(load: TargetLoad): [number, number, number, number] {
	return [
		Math.round(load.declined * ratioScale),
		Math.round(load.declineLevel * ratioScale),
		Math.round(load.demand * ratioScale),
		Math.round(load.heldLevel * ratioScale),
	];
}

export function fromNumbers([
	occupancy,
	shedLevel,
	failureShare,
	runTime,
	rateLimit,
	rateOccupancy = 0,
	declined = 0,
	declineLevel = 0,
	demand = 0,
	heldLevel = 0,
]: LoadNumbers): TargetLoad {
	return {
		occupancy: occupancy / ratioScale,
		shedLevel: shedLevel / ratioScale,
		failureShare: failureShare / ratioScale,
		runTime,
		declined: declined / ratioScale,
		declineLevel: declineLevel / ratioScale,
		demand: demand / ratioScale,
		heldLevel: heldLevel / ratioScale,
		...(rateLimit !== undefined && {
			rate: {
				limit: rateLimit === unlimited ? Number.POSITIVE_INFINITY : rateLimit,
				occupancy: rateOccupancy / ratioScale,
			},
		}),
	};
}

export function isLoadList(load: unknown): load is LoadNumbers {
	if (!Array.isArray(load) || load.length < minLoadLength) {
		return false;
	}

	for (const item of load as number[]) {
		// The least is `unlimited`, which stands for an infinite one.
		if (!Number.isFinite(item) || item < unlimited) {
			return false;
		}
	}

	return true;
}
